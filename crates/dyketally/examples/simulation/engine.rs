//! The event loop of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use dyketally::time::Timestamp;

use super::callers::Callers;
use super::discipline::{Discipline, Job, NotRun};
use super::measures::Measures;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Before arrivals of the same moment, so that a slot is free when it could be.
    Finish(usize),
    Arrive(usize),
    /// Only wakes the loop: statements past their deadline are given up at every event.
    Deadline(usize),
}

struct Engine<'a, D> {
    discipline: &'a mut D,
    callers: &'a mut Callers,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    arriving: BTreeMap<usize, Job>,
    running: BTreeMap<usize, (Timestamp, Job)>,
    measures: Measures,
}

/// Runs `jobs` through `discipline` until nothing is left to do.
pub fn run(
    discipline: &mut impl Discipline,
    callers: &mut Callers,
    jobs: &[Job],
    measures: Measures,
) -> Measures {
    let mut engine = Engine {
        discipline,
        callers,
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
            .advance(now, engine.running.len(), engine.discipline.waiting());
        engine.expire(now);
        engine.handle(now, event);
        engine.start_all(now);
    }
    engine.measures
}

impl<D: Discipline> Engine<'_, D> {
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
        self.discipline.finish(now, &job);
        self.measures.finished(started, now, &job);
    }

    fn arrive(&mut self, now: Timestamp, number: usize) {
        let Some(job) = self.arriving.remove(&number) else {
            return;
        };
        if job.attempt == 1 {
            self.callers.fresh();
            self.measures.arrived(&job);
        }
        let deadline = job.deadline;
        match self.discipline.arrive(now, job) {
            Ok(()) => self
                .events
                .push(Reverse((deadline, Event::Deadline(number)))),
            Err(not_run) => self.not_run(now, not_run),
        }
    }

    fn expire(&mut self, now: Timestamp) {
        for not_run in self.discipline.expire(now) {
            self.not_run(now, not_run);
        }
    }

    fn not_run(&mut self, now: Timestamp, not_run: NotRun) {
        self.measures.turned_away(&not_run.job);
        if let Some(at) = self.callers.retry_at(now, &not_run) {
            let mut job = not_run.job;
            job.attempt += 1;
            self.schedule(at, job);
        }
    }

    fn start_all(&mut self, now: Timestamp) {
        while let Some(job) = self.discipline.start(now) {
            self.measures.started(now, &job);
            let end = now + job.service;
            self.events.push(Reverse((end, Event::Finish(job.number))));
            self.running.insert(job.number, (now, job));
        }
    }
}
