//! How many connections a pool may have open.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use super::Pool;
use crate::measures::Handed;

/// How long the pool stays within the size at which the database refused to grow it: connections of
/// other nodes come and go within seconds. Not measured.
const REFUSAL_HOLDS: Duration = Duration::from_secs(2);
/// One in so many connections is kept free of transactions. Without it transactions that rest took all
/// connections of a home, and single statements waited behind them; a day of 120 such callers had the
/// same worth with and without it, 0.948.
const RESERVED_SHARE: u32 = 4;

/// The limits of one pool.
#[derive(Debug)]
pub(super) struct Size {
    /// Connections that this node may have open to the database.
    limit: Cell<u32>,
    /// True where one connection is kept while nobody needs it.
    keeps_one: Cell<bool>,
    /// The number of connections at which the database refused another one, and when.
    refused: Cell<Option<(u32, Instant)>>,
}

impl Size {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit: Cell::new(limit),
            keeps_one: Cell::new(true),
            refused: Cell::new(None),
        }
    }

    /// Connections that this node may have open by its share.
    pub(super) fn share(&self) -> u32 {
        self.limit.get()
    }

    /// Connections that may be open now.
    pub(super) fn limit(&self) -> u32 {
        let limit = self.limit.get();
        match self.refused.get() {
            Some((size, at)) if at.elapsed() < REFUSAL_HOLDS => limit.min(size.max(1)),
            _ => limit,
        }
    }

    /// Connections that transactions may keep now, of those that may be open.
    pub(super) fn limit_of_transactions(&self) -> u32 {
        let limit = self.limit();
        let reserved = limit / RESERVED_SHARE;
        limit.saturating_sub(reserved).max(1)
    }

    /// Connections that are kept while nobody needs them.
    pub(super) fn kept(&self) -> usize {
        usize::from(self.keeps_one.get())
    }

    /// Records that the database refused a connection beyond `size`.
    pub(super) fn refused_at(&self, size: u32) {
        self.refused.set(Some((size, Instant::now())));
    }
}

impl Pool {
    /// Changes how many connections may be open, and whether one is kept while nobody needs it.
    pub fn set_limit(&self, limit: u32, keeps_one: bool) {
        self.size.limit.set(limit.max(1));
        self.size.keeps_one.set(keeps_one);
        self.wake_next();
    }

    /// Makes room for a connection to be opened, if need be by closing the one that has been idle
    /// longest; `None` if there is none.
    pub(super) fn make_room(&self) -> Option<Handed> {
        if self.open.get() < self.size.limit() {
            return Some(Handed::Opened);
        }
        let index = self.idle_longest()?;
        self.idle.borrow_mut().swap_remove(index);
        // Nobody is woken: the caller takes the room that it made.
        self.open.set(self.open.get().saturating_sub(1));
        Some(Handed::Replaced)
    }
}
