//! Leaving of a database: no new work, and what is in flight has a while to end.

use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::time::Timestamp;

use crate::home::JobId;

enum Phase {
    Serving,
    Leaving { deadline: Timestamp },
    Left,
}

/// Leaving of a database, from the first notice of it to its last statement.
pub struct DatabaseDrain {
    grace: Duration,
    phase: Phase,
    in_flight: BTreeSet<JobId>,
}

impl DatabaseDrain {
    /// A database that gets work. Once it leaves, work in flight has `grace` to end.
    pub fn new(grace: Duration) -> Self {
        DatabaseDrain {
            grace,
            phase: Phase::Serving,
            in_flight: BTreeSet::new(),
        }
    }

    /// Whether fresh statements may be sent.
    pub fn accepts_new_work(&self) -> bool {
        matches!(self.phase, Phase::Serving)
    }

    /// A statement or a transaction began at the database.
    pub fn begin(&mut self, job: JobId) {
        self.in_flight.insert(job);
    }

    /// A statement or a transaction ended.
    pub fn end(&mut self, job: JobId) {
        self.in_flight.remove(&job);
    }

    /// The database is leaving. Later notices don't move the deadline.
    pub fn notice(&mut self, now: Timestamp) {
        if matches!(self.phase, Phase::Serving) {
            let deadline = now + self.grace;
            self.phase = Phase::Leaving { deadline };
        }
    }

    /// The work that did not end in time, told once.
    pub fn take_overdue(&mut self, now: Timestamp) -> BTreeSet<JobId> {
        let Phase::Leaving { deadline } = self.phase else {
            return BTreeSet::new();
        };
        let overdue = match deadline <= now {
            true => std::mem::take(&mut self.in_flight),
            false => BTreeSet::new(),
        };
        if self.in_flight.is_empty() {
            self.phase = Phase::Left;
        }
        overdue
    }
}
