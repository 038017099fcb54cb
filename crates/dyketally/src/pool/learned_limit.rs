//! A connection limit that adapts to the database's refusals.

use std::time::Duration;

use crate::time::Timestamp;

/// Least time between two changes of the limit, up or down.
const STEP: Duration = Duration::from_secs(1);
/// Factor by which the number of open connections is multiplied to get the new limit after a refusal.
const DECREASE: Fraction = Fraction {
    numerator: 3,
    denominator: 4,
};

struct Fraction {
    numerator: u32,
    denominator: u32,
}

/// A limit with additive increase and multiplicative decrease: two nodes that hold connections to one database
/// converge to sharing its connection limit without knowing of each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct LearnedLimit {
    configured: u32,
    current: u32,
    last_step: Timestamp,
}

impl LearnedLimit {
    pub(super) fn new(configured: u32) -> Self {
        LearnedLimit {
            configured,
            current: configured,
            last_step: Timestamp::ZERO,
        }
    }

    pub(super) fn configured(&self) -> u32 {
        self.configured
    }

    pub(super) fn current(&self) -> u32 {
        self.current
    }

    /// Changes the configured limit. A current limit that refusals have lowered is kept, if the new one allows it.
    pub(super) fn configure(&mut self, configured: u32) {
        if self.current == self.configured {
            self.current = configured;
        }
        self.configured = configured;
        self.current = self.current.min(configured);
    }

    /// Lowers the limit because a connection was refused while `established` others were open. While the limit is
    /// below the configured one, refusals within [`STEP`] of the last change are ignored.
    pub(super) fn refused(&mut self, now: Timestamp, established: u32) {
        let lowered = self.current < self.configured;
        if lowered && now.saturating_since(self.last_step) < STEP {
            return;
        }
        let reduced = established.min(self.current) * DECREASE.numerator / DECREASE.denominator;
        self.current = reduced.max(1).min(self.configured);
        self.last_step = now;
    }

    /// Raises the limit by one for each [`STEP`] since the last change, up to the configured limit.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while self.current < self.configured && self.last_step + STEP <= now {
            self.current += 1;
            self.last_step = self.last_step + STEP;
        }
    }

    /// When the limit rises next; `None` while it is at the configured limit.
    pub(super) fn next_step(&self) -> Option<Timestamp> {
        (self.current < self.configured).then(|| self.last_step + STEP)
    }
}
