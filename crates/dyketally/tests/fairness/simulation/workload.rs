//! Tenants and the statements that they send.

use std::time::Duration;

use dyketally::time::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::job::Job;

/// When a tenant's statements arrive.
#[derive(Clone, Copy, Debug)]
pub enum Arrivals {
    /// Independently of each other, at this mean rate.
    Random {
        /// Mean statements in a second.
        per_second: f64,
    },
    /// Many at the same time, at a fixed interval.
    Bursts {
        /// Time between the bursts.
        every: Duration,
        /// Statements in a burst.
        size: usize,
    },
}

/// Busy time of a tenant's statements: most short, some long.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// Busy time of the short ones.
    pub short: Duration,
    /// Busy time of the long ones.
    pub long: Duration,
    /// Percentage of long ones.
    pub percent_long: u32,
}

impl ServiceTimes {
    /// The mean in seconds.
    pub fn mean(&self) -> f64 {
        let long = f64::from(self.percent_long) / 100.0;
        self.long.as_secs_f64() * long + self.short.as_secs_f64() * (1.0 - long)
    }

    fn sample(&self, random: &mut StdRng) -> Duration {
        if random.random_range(0..100) < self.percent_long {
            self.long
        } else {
            self.short
        }
    }
}

/// One tenant's statements.
#[derive(Clone, Debug)]
pub struct TenantLoad {
    /// The tenant's name.
    pub name: String,
    /// Its share relative to other tenants.
    pub weight: u32,
    /// Most statements of the tenant that may wait.
    pub queue_limit: u32,
    /// When its statements arrive.
    pub arrivals: Arrivals,
    /// How long they keep a slot busy.
    pub service: ServiceTimes,
    /// Time from arrival to the caller's deadline.
    pub deadline: Duration,
}

impl TenantLoad {
    /// A random arrival rate that keeps `slots` slots busy.
    pub fn with_demand(mut self, slots: f64) -> Self {
        let per_second = slots / self.service.mean();
        self.arrivals = Arrivals::Random { per_second };
        self
    }
}

/// All statements that arrive within `length`, in order of arrival.
pub fn generate(tenants: &[TenantLoad], length: Duration, seed: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (tenant, load) in tenants.iter().enumerate() {
        let stream = seed.wrapping_mul(1_000_003).wrapping_add(tenant as u64);
        let mut random = StdRng::seed_from_u64(stream);
        for arrived in arrivals(load.arrivals, length, &mut random) {
            jobs.push(Job {
                number: 0,
                tenant,
                arrived,
                deadline: arrived + load.deadline,
                service: load.service.sample(&mut random),
            });
        }
    }
    jobs.sort_by_key(|job| job.arrived);
    for (number, job) in jobs.iter_mut().enumerate() {
        job.number = number;
    }
    jobs
}

fn arrivals(arrivals: Arrivals, length: Duration, random: &mut StdRng) -> Vec<Timestamp> {
    let end = Timestamp::ZERO + length;
    let mut times = Vec::new();
    let mut now = Timestamp::ZERO;
    while now < end {
        match arrivals {
            Arrivals::Random { per_second } => {
                let uniform: f64 = random.random_range(f64::EPSILON..1.0);
                now = now + Duration::from_secs_f64(-uniform.ln() / per_second);
                times.push(now);
            }
            Arrivals::Bursts { every, size } => {
                now = now + every;
                times.extend(std::iter::repeat_n(now, size));
            }
        }
    }
    times.retain(|time| *time < end);
    times
}
