//! Tokens of one tenant at one node: those issued to it, and its part of the rate without an accountant.

use std::time::Duration;

use crate::tenant::Quota;
use crate::time::Timestamp;

/// Time for which a node requests tokens in advance, at the rate at which it runs operations. The tokens
/// that all nodes hold in advance add to the operations of a window.
const PREFETCH_TIME: Duration = Duration::from_millis(50);
/// Time for which an unused token is kept.
const TOKEN_LIFETIME: Duration = Duration::from_millis(200);
/// Length of a window in which operations are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);
/// Divides the part of the rate of a node without an accountant while the tenant exceeds its rate: the
/// accountant may still issue the whole rate to other nodes, and all nodes without an accountant together
/// must stay within the tolerance.
const STRAINED_DIVISOR: u32 = 4;
/// Time for which a node without an accountant assumes that a tenant exceeds its rate after refusing it
/// an operation.
const STRAINED_AFTER_REFUSAL: Duration = Duration::from_secs(3);
/// Number of nodes that run an operation at once, on average, when all nodes lose their accountant. The
/// others first wait until their part of the rate has accrued.
const NODES_STARTING_AT_ONCE: f64 = 40.0;

/// Tokens of one tenant at one node.
#[derive(Clone, Debug)]
pub struct Allowance {
    held: u32,
    held_until: Timestamp,
    window_start: Timestamp,
    counted: u32,
    per_second: u32,
    strained: bool,
    refused_without_accountant: Option<Timestamp>,
    /// When this node may next run an operation without an accountant; `None` while it has one.
    next_without_accountant: Option<Timestamp>,
    /// Random number between 0 and 1, set once: decides whether this node is among the first to run an
    /// operation when all nodes lose their accountant.
    random_rank: f64,
}

impl Allowance {
    /// Creates an allowance without tokens. `random_rank` is a random number between 0 and 1, different at
    /// each node.
    pub fn new(now: Timestamp, random_rank: f64) -> Self {
        Self {
            held: 0,
            held_until: now,
            window_start: now,
            counted: 0,
            per_second: 0,
            strained: false,
            refused_without_accountant: None,
            next_without_accountant: None,
            random_rank,
        }
    }

    /// Takes a held token; false if there is none.
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
        if now.saturating_since(self.window_start) >= COUNT_WINDOW {
            let is_old = now.saturating_since(self.window_start) >= COUNT_WINDOW * 2;
            self.per_second = if is_old { 0 } else { self.counted };
            self.counted = 0;
            self.window_start = now;
        }
        self.counted += 1;
    }

    /// Number of tokens to request: one for this operation, and those for operations expected shortly.
    pub fn wanted(&self) -> u32 {
        let ahead = f64::from(self.per_second) * PREFETCH_TIME.as_secs_f64();
        1 + ahead as u32
    }

    /// Records a grant of `operations` tokens, of which one is used at once.
    pub fn granted(&mut self, now: Timestamp, operations: u32, strained: bool) {
        self.strained = strained;
        self.next_without_accountant = None;
        self.add_held(now, operations.saturating_sub(1));
    }

    /// Returns a token whose operation was not run.
    pub fn give_back(&mut self, now: Timestamp) {
        self.add_held(now, 1);
    }

    fn add_held(&mut self, now: Timestamp, tokens: u32) {
        if now >= self.held_until {
            self.held = 0;
        }
        if tokens > 0 {
            self.held += tokens;
            self.held_until = now + TOKEN_LIFETIME;
        }
    }

    /// Takes a token without an accountant, from this node's part of the rate that `nodes` nodes share.
    ///
    /// # Errors
    /// The part is used up; gives the time until the next token.
    pub fn take_alone(&mut self, now: Timestamp, quota: Quota, nodes: u32) -> Result<(), Duration> {
        let refused = self.refused_without_accountant;
        let refused = refused.is_some_and(|at| now.saturating_since(at) < STRAINED_AFTER_REFUSAL);
        let parts = match self.strained || refused {
            true => nodes.saturating_mul(STRAINED_DIVISOR),
            false => nodes,
        };
        let interval = quota.interval_of_part(parts.max(1));
        let first = match self.random_rank * f64::from(nodes) < NODES_STARTING_AT_ONCE {
            true => now,
            false => now + interval,
        };
        let next = *self.next_without_accountant.get_or_insert(first);
        if now < next {
            self.refused_without_accountant = Some(now);
            return Err(next.saturating_since(now));
        }
        self.next_without_accountant = Some(now + interval);
        Ok(())
    }
}
