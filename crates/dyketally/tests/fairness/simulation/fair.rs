//! The fair queue at the home of the database.

use std::collections::BTreeMap;

use dyketally::admission::{FairQueue, Stage, Submission, Ticket};
use dyketally::identifiers::TenantName;
use dyketally::policy::Urgency;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::job::Job;
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
            random: StdRng::seed_from_u64(0),
        }
    }

    /// Queues a statement that arrives; `false` when it is rejected.
    pub fn arrive(&mut self, now: Timestamp, job: Job) -> bool {
        let share = &self.shares[job.tenant];
        let number = job.number;
        let submission = Submission {
            tenant: share.name.clone(),
            weight: share.weight,
            queue_limit: share.queue_limit,
            stage: Stage::Fresh,
            urgency: Urgency::Normal,
            deadline: job.deadline,
            item: job,
        };
        let accepted = self.queue.enqueue(now, submission, &mut self.random);
        if let Ok(ticket) = &accepted {
            self.tickets.insert(number, *ticket);
        }
        accepted.is_ok()
    }

    /// Gives a free slot to a statement; `None` when no slot is free for those that wait.
    pub fn start(&mut self, now: Timestamp) -> Option<Job> {
        Some(self.queue.next(now)?.item)
    }

    /// Releases the slot of a statement that has ended.
    pub fn finish(&mut self, now: Timestamp, job: &Job) {
        let ticket = self.tickets.remove(&job.number);
        let held_a_slot = ticket.is_some_and(|ticket| self.queue.finished(now, ticket));
        assert!(held_a_slot, "{job:?} held no slot");
    }

    /// Removes the queued statements that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        for expired in self.queue.expire(now, &mut self.random) {
            self.tickets.remove(&expired.item.number);
        }
    }

    /// The number of queued statements.
    pub fn waiting(&self) -> usize {
        self.queue.queued()
    }
}
