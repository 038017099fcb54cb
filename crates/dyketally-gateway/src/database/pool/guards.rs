//! What a pool counts while it lasts: connections that are being opened or kept, statements in
//! flight, and those who wait.

use std::rc::Rc;

use dyketally::admission::Rank;

use super::Pool;
use crate::database::claim::{Claim, Work};
use crate::database::pacer::Reserved;

/// Counts a connection that is being opened, unless it comes to nothing.
pub(super) struct OpenSlot {
    pool: Option<Rc<Pool>>,
}

impl OpenSlot {
    pub(super) fn take(pool: &Rc<Pool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        Self {
            pool: Some(pool.clone()),
        }
    }

    pub(super) fn keep(mut self) {
        self.pool = None;
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.take() {
            pool.closed();
        }
    }
}

/// Counts a connection as kept by a transaction until it is dropped.
pub(super) struct Pinned {
    pool: Rc<Pool>,
}

impl Pinned {
    pub(super) fn take(pool: &Rc<Pool>, work: Work) -> Option<Self> {
        if work != Work::Transaction {
            return None;
        }
        pool.pinned.set(pool.pinned.get() + 1);
        Some(Self { pool: pool.clone() })
    }
}

impl Drop for Pinned {
    fn drop(&mut self) {
        self.pool.pinned.set(self.pool.pinned.get() - 1);
        self.pool.wake_next();
    }
}

/// Counts a statement as in flight until it is dropped.
pub(super) struct Running {
    pool: Rc<Pool>,
}

impl Running {
    pub(super) fn begin(pool: &Rc<Pool>) -> Self {
        pool.gate.borrow_mut().begins();
        Self { pool: pool.clone() }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.pool.gate.borrow_mut().ended(self.pool.now());
        self.pool.wake_next();
    }
}

/// The counts of the pool that a connection in use holds.
pub(super) struct Held {
    pub(super) pinned: Option<Pinned>,
    /// Set from the time at which something may run to the end of what runs.
    pub(super) running: Option<Running>,
    /// Set until something is sent to a database that is cold.
    pub(super) reserved: Option<Reserved>,
}

impl Held {
    pub(super) fn take(pool: &Rc<Pool>, claim: &Claim) -> Self {
        Self {
            pinned: Pinned::take(pool, claim.work),
            running: Some(Running::begin(pool)),
            reserved: match claim.work {
                Work::Control => None,
                Work::Statements | Work::Transaction => pool.pacer.reserve(),
            },
        }
    }
}

/// Counts someone as waiting until it is dropped.
pub(super) struct Waiting {
    pool: Rc<Pool>,
    rank: Rank,
}

impl Waiting {
    pub(super) fn begin(pool: &Rc<Pool>, rank: Rank) -> Self {
        pool.gate.borrow_mut().waits(pool.now(), rank);
        Self {
            pool: pool.clone(),
            rank,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.pool.gate.borrow_mut().waits_no_more(self.rank);
    }
}
