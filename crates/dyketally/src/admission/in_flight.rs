//! How many statements to have in flight at a database: enough that it never idles, and few enough
//! that they wait here, where they can be ranked and withdrawn, and not there.

use std::time::Duration;

use crate::time::Timestamp;

/// Statements in flight for each slot of a database: one that runs, and others that follow at once.
const DEPTH: f64 = 3.0;
/// Statements in flight that any holder of connections may have.
const FEWEST: f64 = 2.0;
/// What is left of the limit when the database turns a statement away.
const DECREASE: f64 = 0.75;
/// Refusals that come within this time count as one.
const ONE_REFUSAL: Duration = Duration::from_millis(50);

/// A limit on statements in flight that follows what the database answers: it shrinks when the
/// database turns statements away, and grows back as it runs them.
#[derive(Clone, Debug)]
pub struct InFlightLimit {
    ceiling: f64,
    limit: f64,
    decreased: Option<Timestamp>,
}

impl Default for InFlightLimit {
    /// No limit until the database is known.
    fn default() -> Self {
        Self {
            ceiling: f64::MAX,
            limit: f64::MAX,
            decreased: None,
        }
    }
}

impl InFlightLimit {
    /// Limits a database of `slots` slots that `holders` nodes keep connections to.
    pub fn share_out(&mut self, slots: u32, holders: usize) {
        let share = f64::from(slots) * DEPTH / holders.max(1) as f64;
        self.ceiling = share.ceil().max(FEWEST);
        self.limit = self.limit.min(self.ceiling);
        if self.decreased.is_none() {
            self.limit = self.ceiling;
        }
    }

    /// True when one more may be in flight beside `in_flight` others.
    pub fn admits(&self, in_flight: u32) -> bool {
        f64::from(in_flight) < self.limit.floor().max(1.0)
    }

    /// Records that the database ran a statement.
    pub fn ran(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.ceiling);
    }

    /// Records that it turned one away.
    pub fn turned_away(&mut self, now: Timestamp) {
        let counted = self
            .decreased
            .is_some_and(|at| now.saturating_since(at) < ONE_REFUSAL);
        if !counted {
            self.limit = (self.limit * DECREASE).max(1.0);
            self.decreased = Some(now);
        }
    }
}
