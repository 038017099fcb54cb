//! First-come queues, one at each proxy, each with its own part of the slots.

use std::collections::VecDeque;

use dyketally::time::Timestamp;

use super::discipline::{Discipline, Job, NotRun};

#[derive(Default)]
struct Proxy {
    waiting: VecDeque<Job>,
    running: usize,
}

/// A static pool for each proxy, served in order of arrival.
pub struct FirstCome {
    proxies: Vec<Proxy>,
    slots_each: usize,
    limit_each: usize,
}

impl FirstCome {
    /// Divides `slots` and `queue_limit` evenly between `proxies`.
    pub fn new(proxies: usize, slots: usize, queue_limit: usize) -> Self {
        FirstCome {
            proxies: (0..proxies).map(|_| Proxy::default()).collect(),
            slots_each: slots / proxies,
            limit_each: queue_limit / proxies,
        }
    }

    fn proxy_of(&mut self, job: &Job) -> &mut Proxy {
        let proxies = self.proxies.len();
        &mut self.proxies[job.proxy % proxies]
    }
}

impl Discipline for FirstCome {
    fn arrive(&mut self, _now: Timestamp, job: Job) -> Result<(), NotRun> {
        let limit = self.limit_each;
        let proxy = self.proxy_of(&job);
        if proxy.waiting.len() >= limit {
            let retry_after = None;
            return Err(NotRun { job, retry_after });
        }
        proxy.waiting.push_back(job);
        Ok(())
    }

    fn start(&mut self, _now: Timestamp) -> Option<Job> {
        let slots = self.slots_each;
        self.proxies
            .iter_mut()
            .filter(|proxy| proxy.running < slots)
            .find_map(|proxy| {
                let job = proxy.waiting.pop_front()?;
                proxy.running += 1;
                Some(job)
            })
    }

    fn finish(&mut self, _now: Timestamp, job: &Job) {
        self.proxy_of(job).running -= 1;
    }

    fn expire(&mut self, now: Timestamp) -> Vec<NotRun> {
        let mut expired = Vec::new();
        for proxy in &mut self.proxies {
            while proxy.waiting.front().is_some_and(|job| job.deadline <= now) {
                expired.extend(proxy.waiting.pop_front().map(|job| NotRun {
                    job,
                    retry_after: None,
                }));
            }
        }
        expired
    }

    fn waiting(&self) -> usize {
        self.proxies.iter().map(|proxy| proxy.waiting.len()).sum()
    }
}
