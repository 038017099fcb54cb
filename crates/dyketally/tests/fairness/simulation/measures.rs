//! Measures of a simulated run: waits, slot time and utilisation.

use std::time::Duration;

use dyketally::time::Timestamp;

use super::job::Job;

/// Measures of one tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantMeasures {
    /// Statements sent.
    pub sent: usize,
    /// Time from arrival to the start, for each statement that started.
    pub waits: Vec<Duration>,
    /// Slot time within the window.
    pub busy: Duration,
}

/// Measures of a run, within a window that leaves out the start and the end of the load.
#[derive(Clone, Debug)]
pub struct Measures {
    /// By index of the tenant in the workload.
    pub tenants: Vec<TenantMeasures>,
    window: (Timestamp, Timestamp),
    slots: u32,
    last: Timestamp,
    contended: Duration,
    contended_busy: Duration,
}

impl Measures {
    /// The measures before a run.
    pub fn new(tenants: usize, slots: u32, window: (Timestamp, Timestamp)) -> Self {
        Measures {
            tenants: vec![TenantMeasures::default(); tenants],
            window,
            slots,
            last: Timestamp::ZERO,
            contended: Duration::ZERO,
            contended_busy: Duration::ZERO,
        }
    }

    /// Share of the slots that were busy while any statement waited.
    pub fn utilisation(&self) -> f64 {
        let offered = self.contended.as_secs_f64() * f64::from(self.slots);
        if offered == 0.0 {
            return 1.0;
        }
        self.contended_busy.as_secs_f64() / offered
    }

    /// Records that time passes until `now`, with this many statements running and waiting.
    pub fn advance(&mut self, now: Timestamp, running: usize, waiting: usize) {
        let passed = self.overlap(self.last, now);
        self.last = now;
        if waiting > 0 {
            self.contended += passed;
            self.contended_busy += passed * u32::try_from(running).unwrap_or(u32::MAX);
        }
    }

    /// Records that a statement was sent.
    pub fn arrived(&mut self, job: &Job) {
        if self.counts(job) {
            self.tenants[job.tenant].sent += 1;
        }
    }

    /// Records that a statement got a slot.
    pub fn started(&mut self, now: Timestamp, job: &Job) {
        if self.counts(job) {
            let wait = now.saturating_since(job.arrived);
            self.tenants[job.tenant].waits.push(wait);
        }
    }

    /// Records that a statement ended.
    pub fn finished(&mut self, started: Timestamp, now: Timestamp, job: &Job) {
        let busy = self.overlap(started, now);
        self.tenants[job.tenant].busy += busy;
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

/// Jain's fairness index of n values: 1 when all are equal, 1/n when all but one are 0.
pub fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares)
}
