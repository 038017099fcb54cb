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
/// By so much smaller is the part of a node that is alone while the tenant asks for more than its rate:
/// the accountant still hands out the whole rate to the others, and all who are alone together must stay
/// within the tolerance.
const STRAINED_SHARE: u32 = 4;
/// How long a node that is alone takes a tenant for one that asks for too much once it had to refuse it.
const STRAINED_FOR: Duration = Duration::from_secs(3);
/// Of all nodes that lose their accountant, so many run an operation at once. The others wait until
/// their part of the rate has come together.
const FREE_AT_ONCE: f64 = 40.0;

/// Tokens of one tenant at one node.
#[derive(Clone, Debug)]
pub struct Allowance {
    held: u32,
    held_until: Timestamp,
    counted_since: Timestamp,
    counted: u32,
    per_second: u32,
    strained: bool,
    refused_alone: Option<Timestamp>,
    /// When this node may next run an operation without an accountant; `None` while it has one.
    alone_next: Option<Timestamp>,
    /// Between 0 and 1, drawn once: which of the nodes this one is when all become alone.
    draw: f64,
}

impl Allowance {
    /// Nothing is held yet. `draw` lies between 0 and 1, another for each node.
    pub fn new(now: Timestamp, draw: f64) -> Self {
        Self {
            held: 0,
            held_until: now,
            counted_since: now,
            counted: 0,
            per_second: 0,
            strained: false,
            refused_alone: None,
            alone_next: None,
            draw,
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

    /// Records a grant of `operations`, of which one is used at once.
    pub fn granted(&mut self, now: Timestamp, operations: u32, strained: bool) {
        self.strained = strained;
        self.alone_next = None;
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
        let refused = self.refused_alone;
        let refused = refused.is_some_and(|at| now.saturating_since(at) < STRAINED_FOR);
        let parts = match self.strained || refused {
            true => nodes.saturating_mul(STRAINED_SHARE),
            false => nodes,
        };
        let interval = quota.interval_of_part(parts.max(1));
        let first = match self.draw * f64::from(nodes) < FREE_AT_ONCE {
            true => now,
            false => now + interval,
        };
        let next = *self.alone_next.get_or_insert(first);
        if now < next {
            self.refused_alone = Some(now);
            return Err(next.saturating_since(now));
        }
        self.alone_next = Some(now + interval);
        Ok(())
    }
}
