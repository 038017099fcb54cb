//! Whether a statement may have run.
//!
//! A statement that is handed to a connection counts as one that may have run, whatever becomes of
//! the connection, until a database or a home says that it hasn't. Callers are told that a statement
//! hasn't run only with the [`Unrun`] of its hand-overs.

use std::cell::Cell;
use std::rc::Rc;

/// The hand-overs of one statement to connections, over all attempts.
#[derive(Clone, Debug, Default)]
pub struct HandOvers {
    /// Those that weren't rejected.
    standing: Rc<Cell<u32>>,
}

/// One hand-over. Dropping it leaves it standing: the statement may have run.
#[derive(Debug)]
#[must_use = "a rejected hand-over has to be taken back"]
pub struct HandOver {
    standing: Rc<Cell<u32>>,
}

/// Tells that a statement hasn't run, and isn't about to.
#[derive(Debug)]
pub struct Unrun(());

impl HandOvers {
    /// The statement is about to be handed to a connection.
    pub fn begin(&self) -> HandOver {
        self.standing.set(self.standing.get() + 1);
        HandOver {
            standing: self.standing.clone(),
        }
    }

    /// Set when every hand-over was rejected, or none was made.
    pub fn unrun(&self) -> Option<Unrun> {
        (self.standing.get() == 0).then_some(Unrun(()))
    }
}

impl HandOver {
    /// A database or a home said that it hasn't run the statement.
    pub fn rejected(self) {
        self.standing.set(self.standing.get() - 1);
    }
}
