//! What one node may run for one tenant.

use std::time::Duration;

use crate::tenant::Quota;
use crate::time::Timestamp;

/// Time for which a node asks ahead at the rate at which it runs operations. What all nodes hold
/// ahead adds to the operations of a window.
const AHEAD: Duration = Duration::from_millis(50);
/// How long a token is kept that wasn't used.
const HELD: Duration = Duration::from_millis(200);
/// Span over which operations are counted.
const COUNTED: Duration = Duration::from_secs(1);
/// A node that is alone while the tenant used more than its rate takes so many parts less.
const STRAINED_SHARE: u32 = 4;

/// Tokens of one tenant at one node.
#[derive(Clone, Debug)]
pub struct Allowance {
    held: u32,
    held_until: Timestamp,
    counted_since: Timestamp,
    counted: u32,
    per_second: u32,
    strained: bool,
    /// When this node may next run an operation without an accountant.
    alone_next: Timestamp,
}

impl Allowance {
    /// Nothing is held yet.
    pub fn new(now: Timestamp) -> Self {
        Self {
            held: 0,
            held_until: now,
            counted_since: now,
            counted: 0,
            per_second: 0,
            strained: false,
            alone_next: now,
        }
    }

    /// Takes a token that is held.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.count(now);
        if self.held == 0 || now >= self.held_until {
            self.held = 0;
            return false;
        }
        self.held -= 1;
        true
    }

    fn count(&mut self, now: Timestamp) {
        if now.saturating_since(self.counted_since) >= COUNTED {
            let is_old = now.saturating_since(self.counted_since) >= COUNTED * 2;
            self.per_second = if is_old { 0 } else { self.counted };
            self.counted = 0;
            self.counted_since = now;
        }
        self.counted += 1;
    }

    /// How many operations to ask for: one, and those that will follow shortly.
    pub fn wanted(&self) -> u32 {
        let ahead = f64::from(self.per_second) * AHEAD.as_secs_f64();
        1 + ahead as u32
    }

    /// Takes in a grant of `operations`, of which one is used at once.
    pub fn granted(&mut self, now: Timestamp, operations: u32, strained: bool) {
        self.strained = strained;
        self.hold(now, operations.saturating_sub(1));
    }

    /// Takes back a token whose operation hasn't run.
    pub fn give_back(&mut self, now: Timestamp) {
        self.hold(now, 1);
    }

    fn hold(&mut self, now: Timestamp, tokens: u32) {
        if now >= self.held_until {
            self.held = 0;
        }
        if tokens > 0 {
            self.held += tokens;
            self.held_until = now + HELD;
        }
    }

    /// Takes a token without an accountant: this node's part of the rate, where `nodes` share it.
    ///
    /// # Errors
    /// The part is used up; tells when there is a token again.
    pub fn take_alone(&mut self, now: Timestamp, quota: Quota, nodes: u32) -> Result<(), Duration> {
        let parts = match self.strained {
            true => nodes.saturating_mul(STRAINED_SHARE),
            false => nodes,
        };
        if now < self.alone_next {
            return Err(self.alone_next.saturating_since(now));
        }
        self.alone_next = now + quota.interval_of_part(parts.max(1));
        Ok(())
    }
}
