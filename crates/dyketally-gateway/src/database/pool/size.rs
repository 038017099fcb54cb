//! Limits on the number of connections of a pool.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use super::Pool;
use crate::measures::Acquired;

/// How long the pool stays within the size at which the database refused another connection. Other nodes open
/// and close connections within seconds, so the refusal soon no longer shows how many the database accepts.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(2);
/// One in this many connections is reserved for single statements. Without the reserve, idle transactions can
/// take all connections of a home (a node that keeps connections to the database), and single statements wait
/// behind them. With 120 callers that leave transactions idle, the share of the requests' value that was earned
/// was 0.948 with the reserve and without it.
const RESERVED_ONE_IN: u32 = 4;

/// The limits of one pool.
#[derive(Debug)]
pub(super) struct Size {
    /// This node's share of the database's connections: the number that it may have open.
    limit: Cell<u32>,
    /// True at a home, where one idle connection is kept for `IDLE_LIMIT` instead of `SURPLUS_IDLE_LIMIT`; both
    /// limits are in `closing`.
    keeps_one_idle: Cell<bool>,
    /// The number of open connections at which the database last refused another one, and the time of the refusal.
    refused: Cell<Option<(u32, Instant)>>,
}

impl Size {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit: Cell::new(limit),
            keeps_one_idle: Cell::new(true),
            refused: Cell::new(None),
        }
    }

    /// This node's share of the database's connections, whether or not the database refused one recently.
    pub(super) fn assigned_limit(&self) -> u32 {
        self.limit.get()
    }

    /// Number of connections that may be open now: this node's share, or fewer for [`REFUSAL_LIFETIME`] after the
    /// database refused a connection.
    pub(super) fn limit(&self) -> u32 {
        let limit = self.limit.get();
        match self.refused.get() {
            Some((size, at)) if at.elapsed() < REFUSAL_LIFETIME => limit.min(size.max(1)),
            _ => limit,
        }
    }

    /// Number of connections that transactions may use now, out of those that may be open.
    pub(super) fn transaction_limit(&self) -> u32 {
        let limit = self.limit();
        let reserved = limit / RESERVED_ONE_IN;
        limit.saturating_sub(reserved).max(1)
    }

    /// Number of idle connections that are kept for `IDLE_LIMIT` instead of `SURPLUS_IDLE_LIMIT`: 1 or 0.
    pub(super) fn kept_idle(&self) -> usize {
        usize::from(self.keeps_one_idle.get())
    }

    /// Records that the database refused another connection while `size` were open.
    pub(super) fn record_refusal(&self, size: u32) {
        self.refused.set(Some((size, Instant::now())));
    }
}

impl Pool {
    /// Sets how many connections may be open (at least one), and whether one idle connection is kept for
    /// `IDLE_LIMIT` instead of `SURPLUS_IDLE_LIMIT`.
    pub fn set_limit(&self, limit: u32, keeps_one_idle: bool) {
        self.size.limit.set(limit.max(1));
        self.size.keeps_one_idle.set(keeps_one_idle);
        self.wake_next();
    }

    /// Makes room for opening a connection, if necessary by closing the connection that has been idle for longest;
    /// `None` if the pool is full and no connection is idle.
    pub(super) fn make_room(&self) -> Option<Acquired> {
        if self.open.get() < self.size.limit() {
            return Some(Acquired::Opened);
        }
        let index = self.idle_longest()?;
        self.idle.borrow_mut().swap_remove(index);
        // No waiting request is woken, since the caller uses the room itself.
        self.open.set(self.open.get().saturating_sub(1));
        Some(Acquired::Replaced)
    }
}
