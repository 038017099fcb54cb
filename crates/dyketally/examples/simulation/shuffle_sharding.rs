//! Shuffle sharding as in Kubernetes API Priority and Fairness: each tenant is dealt a hand of
//! queues, a statement joins the queue of its hand with the least work, and queues are served
//! fairly by work.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::admission::{FairQueue, Stage, Submission, Ticket};
use dyketally::identifiers::TenantName;
use dyketally::policy::Urgency;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::index::sample;

use super::discipline::{Discipline, Job, NotRun};

/// How tenants are dealt to queues.
#[derive(Clone, Copy, Debug)]
pub struct Dealing {
    /// Queues at each proxy.
    pub queues: usize,
    /// Queues that a tenant may use.
    pub hand: usize,
    /// Statements that may wait in one queue.
    pub queue_limit: u32,
}

/// One proxy's queue set. Queues take the place of tenants in the fair queue.
struct QueueSet {
    queue: FairQueue<Job>,
    names: Vec<TenantName>,
    /// Work that waits in each queue. Exact, which favours this baseline.
    queued_work: Vec<Duration>,
    tickets: BTreeMap<usize, (Ticket, usize)>,
}

/// A queue set at each proxy, with an even part of the slots.
pub struct ShuffleSharding {
    sets: Vec<QueueSet>,
    hands: Vec<Vec<usize>>,
    queue_limit: u32,
    random: StdRng,
}

impl ShuffleSharding {
    /// Deals `tenants` tenants to the queues; every proxy uses the same hands.
    pub fn new(proxies: usize, slots: u32, tenants: usize, dealing: Dealing, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut hand = || sample(&mut random, dealing.queues, dealing.hand).into_vec();
        let hands = (0..tenants).map(|_| hand()).collect();
        let slots_each = slots / proxies as u32;
        ShuffleSharding {
            sets: (0..proxies)
                .map(|_| QueueSet::new(slots_each, dealing.queues))
                .collect(),
            hands,
            queue_limit: dealing.queue_limit,
            random,
        }
    }
}

impl QueueSet {
    fn new(slots: u32, queues: usize) -> Self {
        let names = (0..queues).map(|number| TenantName::new(format!("queue-{number}")));
        QueueSet {
            queue: FairQueue::new(slots),
            names: names.collect(),
            queued_work: vec![Duration::ZERO; queues],
            tickets: BTreeMap::new(),
        }
    }

    fn left_queue(&mut self, job: &Job) {
        if let Some((_, index)) = self.tickets.get(&job.number) {
            self.queued_work[*index] -= job.service;
        }
    }
}

impl Discipline for ShuffleSharding {
    fn arrive(&mut self, now: Timestamp, job: Job) -> Result<(), NotRun> {
        let proxies = self.sets.len();
        let set = &mut self.sets[job.proxy % proxies];
        let hand = self.hands[job.tenant].iter().copied();
        let index = hand
            .min_by_key(|index| set.queued_work[*index])
            .expect("a hand holds a queue");
        let (number, service) = (job.number, job.service);
        let submission = Submission {
            tenant: set.names[index].clone(),
            weight: 1,
            queue_limit: self.queue_limit,
            stage: Stage::Fresh,
            urgency: Urgency::Normal,
            deadline: job.deadline,
            item: job,
        };
        match set.queue.enqueue(now, submission, &mut self.random) {
            Ok(ticket) => {
                set.tickets.insert(number, (ticket, index));
                set.queued_work[index] += service;
                Ok(())
            }
            Err(rejected) => Err(NotRun {
                job: rejected.item,
                retry_after: Some(rejected.retry_after),
            }),
        }
    }

    fn start(&mut self, now: Timestamp) -> Option<Job> {
        self.sets.iter_mut().find_map(|set| {
            let job = set.queue.next(now)?.item;
            set.left_queue(&job);
            Some(job)
        })
    }

    fn finish(&mut self, now: Timestamp, job: &Job) {
        let proxies = self.sets.len();
        let set = &mut self.sets[job.proxy % proxies];
        let (ticket, _) = set.tickets.remove(&job.number).expect("it was started");
        assert!(set.queue.finished(now, ticket), "{job:?} held no slot");
    }

    fn expire(&mut self, now: Timestamp) -> Vec<NotRun> {
        let mut not_run = Vec::new();
        for set in &mut self.sets {
            for expired in set.queue.expire(now, &mut self.random) {
                set.left_queue(&expired.item);
                set.tickets.remove(&expired.item.number);
                not_run.push(NotRun {
                    job: expired.item,
                    retry_after: Some(expired.retry_after),
                });
            }
        }
        not_run
    }

    fn waiting(&self) -> usize {
        self.sets.iter().map(|set| set.queue.queued()).sum()
    }
}
