//! Limits on the number of connections of a pool.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use super::Pool;
use crate::measures::Acquired;

/// How long the pool stays within the size at which the database refused another connection. Other nodes open
/// and close connections within seconds, so the refusal soon no longer tells how many the database accepts.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(2);
/// One in this many connections is reserved for single statements. Without the reserve, idle transactions took
/// all connections of a home and single statements waited behind them. With 120 such callers, 0.948 of the request
/// value was earned both with and without the reserve.
const RESERVED_ONE_IN: u32 = 4;

/// The limits of one pool.
#[derive(Debug)]
pub(super) struct Size {
    /// Number of connections that this node may have open by its share.
    limit: Cell<u32>,
    /// True where one idle connection is kept up to the longer time limit.
    keeps_one_idle: Cell<bool>,
    /// The number of connections at which the database refused another one, and when.
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

    /// Number of connections that this node may have open by its share.
    pub(super) fn assigned_limit(&self) -> u32 {
        self.limit.get()
    }

    /// Number of connections that may be open now: the share, or less after a refusal.
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

    /// Number of idle connections that are kept up to the longer time limit.
    pub(super) fn kept_idle(&self) -> usize {
        usize::from(self.keeps_one_idle.get())
    }

    /// Records that the database refused another connection while `size` were open.
    pub(super) fn record_refusal(&self, size: u32) {
        self.refused.set(Some((size, Instant::now())));
    }
}

impl Pool {
    /// Sets how many connections may be open, and whether one idle connection is kept for longer.
    pub fn set_limit(&self, limit: u32, keeps_one_idle: bool) {
        self.size.limit.set(limit.max(1));
        self.size.keeps_one_idle.set(keeps_one_idle);
        self.wake_next();
    }

    /// Makes room for opening a connection, if necessary by closing the longest idle one; `None` if the pool is
    /// full and no connection is idle.
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
