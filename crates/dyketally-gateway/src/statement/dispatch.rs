//! Whether a statement may have run.
//!
//! A statement that is handed to a connection counts as one that may have run, whatever becomes of
//! the connection, until a database or a home says that it hasn't. Callers are told that a statement
//! hasn't run only with the [`ProvenNotRun`] of its dispatches.

use std::cell::Cell;
use std::rc::Rc;

/// The dispatches of one statement to connections, over all attempts.
#[derive(Clone, Debug, Default)]
pub struct Dispatches {
    /// Those that weren't rejected.
    standing: Rc<Cell<u32>>,
}

/// One dispatch. Dropping it leaves it standing: the statement may have run.
#[derive(Debug)]
#[must_use = "a rejected dispatch has to be taken back"]
pub struct Dispatch {
    standing: Rc<Cell<u32>>,
}

/// Proof that a statement hasn't run, and isn't about to.
#[derive(Debug)]
pub struct ProvenNotRun(());

impl Dispatches {
    /// Records that the statement is about to be handed to a connection.
    pub fn begin(&self) -> Dispatch {
        self.standing.set(self.standing.get() + 1);
        Dispatch {
            standing: self.standing.clone(),
        }
    }

    /// Set when every dispatch was rejected, or none was made.
    pub fn proven_not_run(&self) -> Option<ProvenNotRun> {
        (self.standing.get() == 0).then_some(ProvenNotRun(()))
    }
}

impl Dispatch {
    /// Records that a database or a home said that it hasn't run the statement.
    pub fn rejected(self) {
        self.standing.set(self.standing.get() - 1);
    }
}
