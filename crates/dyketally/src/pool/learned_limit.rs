//! The connection limit as learned from refusals.

use std::time::Duration;

use crate::time::Timestamp;

/// Time between two steps, up or down.
const STEP: Duration = Duration::from_secs(1);
/// What is kept of the limit when a connection is refused.
const DECREASE: Fraction = Fraction {
    numerator: 3,
    denominator: 4,
};

struct Fraction {
    numerator: u32,
    denominator: u32,
}

/// Additive increase, multiplicative decrease: two nodes that hold connections to one database
/// come to share its limit without knowing of each other.
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

    /// Changes the configured limit. What was learned below it stays.
    pub(super) fn configure(&mut self, configured: u32) {
        if self.current == self.configured {
            self.current = configured;
        }
        self.configured = configured;
        self.current = self.current.min(configured);
    }

    /// A connection was refused while `established` were granted. Refusals within one step of
    /// each other count once.
    pub(super) fn refused(&mut self, now: Timestamp, established: u32) {
        let lowered = self.current < self.configured;
        if lowered && now.saturating_since(self.last_step) < STEP {
            return;
        }
        let kept = established.min(self.current) * DECREASE.numerator / DECREASE.denominator;
        self.current = kept.max(1).min(self.configured);
        self.last_step = now;
    }

    /// Raises the limit by one for each step that passed without a refusal.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while self.current < self.configured && self.last_step + STEP <= now {
            self.current += 1;
            self.last_step = self.last_step + STEP;
        }
    }

    /// When the limit rises next.
    pub(super) fn next_step(&self) -> Option<Timestamp> {
        (self.current < self.configured).then(|| self.last_step + STEP)
    }
}
