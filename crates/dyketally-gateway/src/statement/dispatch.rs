//! Tracks whether a statement may have run.
//!
//! A statement that is passed to a connection counts as one that may have run, even if the connection
//! breaks, until a database or a home replies that it has not. Callers are told that a statement has not
//! run only with a [`ProvenNotRun`] of its dispatches.

use std::cell::Cell;
use std::rc::Rc;

/// The dispatches of a statement to connections, over all its attempts.
#[derive(Clone, Debug, Default)]
pub struct Dispatches {
    /// Number of dispatches that weren't rejected.
    not_rejected: Rc<Cell<u32>>,
}

/// One dispatch. Unless it is marked as rejected, the statement may have run; dropping it changes nothing.
#[derive(Debug)]
#[must_use = "call `rejected` if the database or a home has not run the statement"]
pub struct Dispatch {
    not_rejected: Rc<Cell<u32>>,
}

/// Proof that a statement has not run and won't run.
#[derive(Debug)]
pub struct ProvenNotRun(());

impl Dispatches {
    /// Records that the statement is about to be passed to a connection.
    pub fn begin(&self) -> Dispatch {
        self.not_rejected.set(self.not_rejected.get() + 1);
        Dispatch {
            not_rejected: self.not_rejected.clone(),
        }
    }

    /// The proof, if no dispatch was made or all were rejected.
    pub fn proven_not_run(&self) -> Option<ProvenNotRun> {
        (self.not_rejected.get() == 0).then_some(ProvenNotRun(()))
    }
}

impl Dispatch {
    /// Records that a database or a home replied that it has not run the statement.
    pub fn rejected(self) {
        self.not_rejected.set(self.not_rejected.get() - 1);
    }
}
