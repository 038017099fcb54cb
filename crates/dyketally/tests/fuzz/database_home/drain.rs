//! Drain of a database that is leaving: it gets no new statements, and those in flight have a grace period to end.

use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::time::Timestamp;

use crate::home::JobId;

enum Phase {
    Serving,
    Leaving { deadline: Timestamp },
    Left,
}

/// The state of a database's drain, from the first notice that it is leaving until its last statement has ended.
pub struct DatabaseDrain {
    grace: Duration,
    phase: Phase,
    in_flight: BTreeSet<JobId>,
}

impl DatabaseDrain {
    /// A database that is not leaving. From the notice on, statements in flight have `grace` to end.
    pub fn new(grace: Duration) -> Self {
        DatabaseDrain {
            grace,
            phase: Phase::Serving,
            in_flight: BTreeSet::new(),
        }
    }

    /// Whether statements that don't continue a transaction may be sent to the database.
    pub fn accepts_new_work(&self) -> bool {
        matches!(self.phase, Phase::Serving)
    }

    /// Records that a statement or a transaction began at the database.
    pub fn begin(&mut self, job: JobId) {
        self.in_flight.insert(job);
    }

    /// Records that a statement or a transaction ended.
    pub fn end(&mut self, job: JobId) {
        self.in_flight.remove(&job);
    }

    /// Handles the notice that the database is leaving. Only the first notice sets the deadline.
    pub fn notice(&mut self, now: Timestamp) {
        if matches!(self.phase, Phase::Serving) {
            let deadline = now + self.grace;
            self.phase = Phase::Leaving { deadline };
        }
    }

    /// Jobs that are still in flight at the deadline; each is returned once.
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
