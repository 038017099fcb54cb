//! Guards that keep the counts of a pool: connections being opened, connections of transactions, statements in
//! flight, and waiting requests.

use std::rc::Rc;

use dyketally::admission::Rank;

use super::Pool;
use crate::database::connection_request::{ConnectionRequest, ConnectionUse};
use crate::database::pacer::BatchReservation;

/// Counts a connection as open while it is being opened; dropped without [`OpenSlot::keep`], it undoes the count.
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
            pool.connection_closed();
        }
    }
}

/// Counts a connection as used by a transaction until the guard is dropped.
pub(super) struct Pinned {
    pool: Rc<Pool>,
}

impl Pinned {
    pub(super) fn take(pool: &Rc<Pool>, connection_use: ConnectionUse) -> Option<Self> {
        if connection_use != ConnectionUse::Transaction {
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

/// Counts a statement as in flight until the guard is dropped.
pub(super) struct Running {
    pool: Rc<Pool>,
}

impl Running {
    pub(super) fn begin(pool: &Rc<Pool>) -> Self {
        pool.gate.borrow_mut().record_begin();
        Self { pool: pool.clone() }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.pool.gate.borrow_mut().record_end(self.pool.now());
        self.pool.wake_next();
    }
}

/// The guards of a checked-out connection.
pub(super) struct Guards {
    pub(super) pinned: Option<Pinned>,
    /// Set from the admission of a batch to its end, or until the batch has been unanswered for too long.
    pub(super) running: Option<Running>,
    /// Set from the checkout of a connection to a cold database to its first batch.
    pub(super) reserved: Option<BatchReservation>,
}

impl Guards {
    pub(super) fn take(pool: &Rc<Pool>, request: &ConnectionRequest) -> Self {
        Self {
            pinned: Pinned::take(pool, request.connection_use),
            running: Some(Running::begin(pool)),
            reserved: match request.connection_use {
                ConnectionUse::Control => None,
                ConnectionUse::Statements | ConnectionUse::Transaction => pool.pacer.reserve(),
            },
        }
    }
}

/// Counts a request as waiting until the guard is dropped.
pub(super) struct Waiting {
    pool: Rc<Pool>,
    rank: Rank,
}

impl Waiting {
    pub(super) fn begin(pool: &Rc<Pool>, rank: Rank) -> Self {
        pool.gate.borrow_mut().record_waiting(pool.now(), rank);
        Self {
            pool: pool.clone(),
            rank,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.pool.gate.borrow_mut().record_left_queue(self.rank);
    }
}
