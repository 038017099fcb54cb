//! What is measured in a run.

use std::time::Duration;

use dyketally::time::Timestamp;

use super::discipline::Job;
use super::workload::TenantLoad;

/// Measures of one tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantMeasures {
    /// Statements sent, without retries.
    pub sent: usize,
    /// Attempts answered without having run.
    pub turned_away: usize,
    /// Statements that ended within their deadline.
    pub in_time: usize,
    /// Statements that ended past their deadline.
    pub late: usize,
    /// Time from first arrival to the start, for each statement that started.
    pub waits: Vec<Duration>,
    /// Time from first arrival to the end, for each statement that ended.
    pub responses: Vec<Duration>,
    /// Slot time within the window.
    pub busy: Duration,
}

/// What became of a statement.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// When its first attempt arrived.
    pub arrived: Timestamp,
    /// Whether it ended within its deadline.
    pub in_time: bool,
}

/// Measures of a run, within a window that leaves out the start and the end of the load.
#[derive(Clone, Debug)]
pub struct Measures {
    /// By index of the tenant in the workload.
    pub tenants: Vec<TenantMeasures>,
    /// When each statement arrived, also outside of the window, and whether it ended in time.
    pub outcomes: Vec<Outcome>,
    window: (Timestamp, Timestamp),
    slots: u32,
    last: Timestamp,
    contended: Duration,
    contended_busy: Duration,
}

impl Measures {
    /// Nothing measured yet.
    pub fn new(tenants: usize, slots: u32, window: (Timestamp, Timestamp)) -> Self {
        Measures {
            tenants: vec![TenantMeasures::default(); tenants],
            outcomes: Vec::new(),
            window,
            slots,
            last: Timestamp::ZERO,
            contended: Duration::ZERO,
            contended_busy: Duration::ZERO,
        }
    }

    /// Share of the slots that were busy while anyone waited.
    pub fn utilisation(&self) -> f64 {
        let offered = self.contended.as_secs_f64() * f64::from(self.slots);
        if offered == 0.0 {
            return 1.0;
        }
        self.contended_busy.as_secs_f64() / offered
    }

    /// Statements in a second, of all tenants, that ended within their deadline.
    pub fn goodput(&self) -> f64 {
        let in_time: usize = self.tenants.iter().map(|tenant| tenant.in_time).sum();
        let (start, end) = self.window;
        in_time as f64 / end.saturating_since(start).as_secs_f64()
    }

    /// Jain's index of slot time against the max-min fair share of each tenant's demand.
    pub fn fairness(&self, loads: &[TenantLoad]) -> f64 {
        let shares = max_min_shares(loads, f64::from(self.slots));
        let (start, end) = self.window;
        let length = end.saturating_since(start).as_secs_f64();
        let ratios = self
            .tenants
            .iter()
            .zip(shares)
            .map(|(tenant, share)| tenant.busy.as_secs_f64() / length / share);
        jain(&ratios.collect::<Vec<f64>>())
    }

    /// Time passes until `now`, with this many statements running and waiting.
    pub fn advance(&mut self, now: Timestamp, running: usize, waiting: usize) {
        let passed = self.overlap(self.last, now);
        self.last = now;
        if waiting > 0 {
            self.contended += passed;
            self.contended_busy += passed * u32::try_from(running).unwrap_or(u32::MAX);
        }
    }

    /// A statement was sent for the first time.
    pub fn arrived(&mut self, job: &Job) {
        if self.counts(job) {
            self.tenants[job.tenant].sent += 1;
        }
    }

    /// An attempt was answered without having run.
    pub fn turned_away(&mut self, job: &Job) {
        if self.counts(job) {
            self.tenants[job.tenant].turned_away += 1;
        }
    }

    /// A statement got a slot.
    pub fn started(&mut self, now: Timestamp, job: &Job) {
        if self.counts(job) {
            let wait = now.saturating_since(job.arrived);
            self.tenants[job.tenant].waits.push(wait);
        }
    }

    /// A statement ended.
    pub fn finished(&mut self, started: Timestamp, now: Timestamp, job: &Job) {
        let busy = self.overlap(started, now);
        self.tenants[job.tenant].busy += busy;
        self.outcomes.push(Outcome {
            arrived: job.arrived,
            in_time: now <= job.deadline,
        });
        if !self.counts(job) {
            return;
        }
        let tenant = &mut self.tenants[job.tenant];
        tenant.responses.push(now.saturating_since(job.arrived));
        if now <= job.deadline {
            tenant.in_time += 1;
        } else {
            tenant.late += 1;
        }
    }

    fn counts(&self, job: &Job) -> bool {
        let (start, end) = self.window;
        start <= job.arrived && job.arrived < end
    }

    fn overlap(&self, from: Timestamp, to: Timestamp) -> Duration {
        let (start, end) = self.window;
        to.min(end).saturating_since(from.max(start))
    }
}

/// The value that `percent` of `samples` don't exceed; zero without samples.
pub fn percentile(samples: &[Duration], percent: usize) -> Duration {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(rank).copied().unwrap_or_default()
}

/// Jain's index: 1 when all are equal, one part in their number when one has everything.
pub fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares)
}

/// Divides `slots` by weight, giving no tenant more than it demands.
pub fn max_min_shares(loads: &[TenantLoad], slots: f64) -> Vec<f64> {
    let mut shares = vec![0.0; loads.len()];
    let mut open: Vec<usize> = (0..loads.len()).collect();
    let mut left = slots;
    loop {
        let weight: f64 = open.iter().map(|i| f64::from(loads[*i].weight)).sum();
        let unit = left / weight;
        let (satisfied, unsatisfied): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|i| loads[**i].demand() <= unit * f64::from(loads[**i].weight));
        for index in &satisfied {
            shares[*index] = loads[*index].demand();
            left -= shares[*index];
        }
        if satisfied.is_empty() || unsatisfied.is_empty() {
            for index in unsatisfied {
                shares[index] = unit * f64::from(loads[index].weight);
            }
            return shares;
        }
        open = unsatisfied;
    }
}
