//! The fair queue at the home of the database.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::admission::{FairQueue, Stage, Submission, Ticket};
use dyketally::identifiers::TenantName;
use dyketally::policy::Urgency;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::discipline::{Discipline, Job, NotRun};
use super::workload::TenantLoad;

struct Share {
    name: TenantName,
    weight: u32,
    queue_limit: u32,
}

/// One queue for all proxies, shared by tenant.
pub struct FairAtHome {
    queue: FairQueue<Job>,
    shares: Vec<Share>,
    tickets: BTreeMap<usize, Ticket>,
    reserve: Duration,
    random: StdRng,
}

impl FairAtHome {
    /// A fair queue in front of `slots` slots.
    pub fn new(slots: u32, tenants: &[TenantLoad]) -> Self {
        let shares = tenants.iter().map(|load| Share {
            name: TenantName::from(load.name.as_str()),
            weight: load.weight,
            queue_limit: load.queue_limit,
        });
        FairAtHome {
            queue: FairQueue::new(slots),
            shares: shares.collect(),
            tickets: BTreeMap::new(),
            reserve: Duration::ZERO,
            random: StdRng::seed_from_u64(0),
        }
    }

    /// Gives up on a statement this long before its caller's deadline, so that a statement that
    /// is started can still end in time.
    pub fn with_reserve(self, reserve: Duration) -> Self {
        FairAtHome { reserve, ..self }
    }
}

impl Discipline for FairAtHome {
    fn arrive(&mut self, now: Timestamp, job: Job) -> Result<(), NotRun> {
        let share = &self.shares[job.tenant];
        let number = job.number;
        let submission = Submission {
            tenant: share.name.clone(),
            weight: share.weight,
            queue_limit: share.queue_limit,
            stage: Stage::Fresh,
            urgency: Urgency::Normal,
            deadline: job.deadline - self.reserve,
            item: job,
        };
        match self.queue.enqueue(now, submission, &mut self.random) {
            Ok(ticket) => {
                self.tickets.insert(number, ticket);
                Ok(())
            }
            Err(rejected) => Err(NotRun {
                job: rejected.item,
                retry_after: Some(rejected.retry_after),
            }),
        }
    }

    fn start(&mut self, now: Timestamp) -> Option<Job> {
        Some(self.queue.next(now)?.item)
    }

    fn finish(&mut self, now: Timestamp, job: &Job) {
        let ticket = self.tickets.remove(&job.number);
        let held_a_slot = ticket.is_some_and(|ticket| self.queue.finished(now, ticket));
        assert!(held_a_slot, "{job:?} held no slot");
    }

    fn expire(&mut self, now: Timestamp) -> Vec<NotRun> {
        let expired = self.queue.expire(now, &mut self.random);
        for expired in &expired {
            self.tickets.remove(&expired.item.number);
        }
        let not_run = expired.into_iter().map(|expired| NotRun {
            job: expired.item,
            retry_after: Some(expired.retry_after),
        });
        not_run.collect()
    }

    fn waiting(&self) -> usize {
        self.queue.queued()
    }
}
