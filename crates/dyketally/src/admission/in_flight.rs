//! Limits the statements in flight at a database: enough that the database never idles, and few enough that
//! statements wait in this node's queue, where they can be ranked and withdrawn, and not at the database.

use std::time::Duration;

use crate::time::Timestamp;

/// Statements in flight per slot of a database: one that runs, and others that follow without a pause.
const STATEMENTS_PER_SLOT: f64 = 3.0;
/// Least value of the ceiling: statements in flight that each node with connections to the database may have.
const MIN_CEILING: f64 = 2.0;
/// Factor by which the limit shrinks when the database rejects a statement.
const DECREASE_FACTOR: f64 = 0.75;
/// Rejections within this time after a decrease of the limit don't decrease it again.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// A limit on the statements in flight that adapts to the database's answers: it shrinks when the database
/// rejects statements, and grows back as the database runs them.
#[derive(Clone, Debug)]
pub struct InFlightLimit {
    /// Greatest value of the limit, from this node's share of the slots.
    ceiling: f64,
    limit: f64,
    /// When the limit was last decreased.
    last_decrease: Option<Timestamp>,
}

impl Default for InFlightLimit {
    /// No limit until [`set_share`](InFlightLimit::set_share) is called.
    fn default() -> Self {
        Self {
            ceiling: f64::MAX,
            limit: f64::MAX,
            last_decrease: None,
        }
    }
}

impl InFlightLimit {
    /// Sets the ceiling for a database with `slots` slots, to which `holders` nodes keep connections.
    pub fn set_share(&mut self, slots: u32, holders: usize) {
        let share = f64::from(slots) * STATEMENTS_PER_SLOT / holders.max(1) as f64;
        self.ceiling = share.ceil().max(MIN_CEILING);
        self.limit = self.limit.min(self.ceiling);
        if self.last_decrease.is_none() {
            self.limit = self.ceiling;
        }
    }

    /// True when one more statement may be in flight in addition to `in_flight` others.
    pub fn admits(&self, in_flight: u32) -> bool {
        f64::from(in_flight) < self.limit.floor().max(1.0)
    }

    /// Records that the database ran a statement.
    pub fn record_answer(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.ceiling);
    }

    /// Records that the database rejected a statement.
    pub fn record_rejection(&mut self, now: Timestamp) {
        let is_recent = self
            .last_decrease
            .is_some_and(|at| now.saturating_since(at) < DECREASE_INTERVAL);
        if !is_recent {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
            self.last_decrease = Some(now);
        }
    }
}
