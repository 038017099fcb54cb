//! The event loop of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use dyketally::time::Timestamp;

use super::fair::FairAtHome;
use super::job::Job;
use super::measures::Measures;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Ordered before arrivals of the same time, so that they find the slot free.
    Finish(usize),
    Arrive(usize),
    /// Only wakes the loop: statements past their deadline expire at every event.
    Deadline(usize),
}

struct Engine {
    queue: FairAtHome,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    arriving: BTreeMap<usize, Job>,
    running: BTreeMap<usize, (Timestamp, Job)>,
    measures: Measures,
}

/// Runs `jobs` through `queue` until nothing is left to do.
pub fn run(queue: FairAtHome, jobs: &[Job], measures: Measures) -> Measures {
    let mut engine = Engine {
        queue,
        events: BinaryHeap::new(),
        arriving: BTreeMap::new(),
        running: BTreeMap::new(),
        measures,
    };
    for job in jobs {
        engine.schedule(job.arrived, job.clone());
    }
    while let Some(Reverse((now, event))) = engine.events.pop() {
        engine
            .measures
            .advance(now, engine.running.len(), engine.queue.waiting());
        engine.expire(now);
        engine.handle(now, event);
        engine.start_all(now);
    }
    engine.measures
}

impl Engine {
    fn schedule(&mut self, at: Timestamp, job: Job) {
        self.events.push(Reverse((at, Event::Arrive(job.number))));
        self.arriving.insert(job.number, job);
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Finish(number) => self.finish(now, number),
            Event::Arrive(number) => self.arrive(now, number),
            Event::Deadline(_) => {}
        }
    }

    fn finish(&mut self, now: Timestamp, number: usize) {
        let Some((started, job)) = self.running.remove(&number) else {
            return;
        };
        self.queue.finish(now, &job);
        self.measures.finished(started, now, &job);
    }

    fn arrive(&mut self, now: Timestamp, number: usize) {
        let Some(job) = self.arriving.remove(&number) else {
            return;
        };
        self.measures.arrived(&job);
        let deadline = job.deadline;
        if self.queue.arrive(now, job) {
            self.events
                .push(Reverse((deadline, Event::Deadline(number))));
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.queue.expire(now);
    }

    fn start_all(&mut self, now: Timestamp) {
        while let Some(job) = self.queue.start(now) {
            self.measures.started(now, &job);
            let end = now + job.service;
            self.events.push(Reverse((end, Event::Finish(job.number))));
            self.running.insert(job.number, (now, job));
        }
    }
}
