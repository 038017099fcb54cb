//! A queue for each tenant at the home, served in turn: fair by statements, not by work.

use std::collections::VecDeque;

use dyketally::time::Timestamp;

use super::discipline::{Discipline, Job, NotRun};
use super::workload::TenantLoad;

/// Round robin over tenants.
pub struct ByCount {
    waiting: Vec<VecDeque<Job>>,
    limits: Vec<usize>,
    slots: usize,
    running: usize,
    turn: usize,
}

impl ByCount {
    /// Round robin over `tenants` in front of `slots` slots.
    pub fn new(slots: usize, tenants: &[TenantLoad]) -> Self {
        ByCount {
            waiting: tenants.iter().map(|_| VecDeque::new()).collect(),
            limits: tenants
                .iter()
                .map(|load| load.queue_limit as usize)
                .collect(),
            slots,
            running: 0,
            turn: 0,
        }
    }
}

impl Discipline for ByCount {
    fn arrive(&mut self, _now: Timestamp, job: Job) -> Result<(), NotRun> {
        let tenant = job.tenant;
        if self.waiting[tenant].len() >= self.limits[tenant] {
            let retry_after = None;
            return Err(NotRun { job, retry_after });
        }
        self.waiting[tenant].push_back(job);
        Ok(())
    }

    fn start(&mut self, _now: Timestamp) -> Option<Job> {
        if self.running >= self.slots {
            return None;
        }
        let tenants = self.waiting.len();
        for step in 0..tenants {
            let tenant = (self.turn + step) % tenants;
            if let Some(job) = self.waiting[tenant].pop_front() {
                self.turn = tenant + 1;
                self.running += 1;
                return Some(job);
            }
        }
        None
    }

    fn finish(&mut self, _now: Timestamp, _job: &Job) {
        self.running -= 1;
    }

    fn expire(&mut self, now: Timestamp) -> Vec<NotRun> {
        let mut expired = Vec::new();
        for waiting in &mut self.waiting {
            while waiting.front().is_some_and(|job| job.deadline <= now) {
                expired.extend(waiting.pop_front().map(|job| NotRun {
                    job,
                    retry_after: None,
                }));
            }
        }
        expired
    }

    fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }
}
