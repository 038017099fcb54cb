//! Rules that decide how statements are routed, queued, retried, refused and given up.
//!
//! Each file holds one rule: pure functions that take named inputs and return a typed result. A result that
//! ends a statement carries the [`Reason`] that the log prints. The loops in `statement` collect the inputs,
//! call the rules and carry out the results.
//!
//! | question | rule |
//! |---|---|
//! | Which database serves a read, and what shows that its answer is fresh enough? | [`choose`] |
//! | How long may a statement wait in the queue for a connection? | [`admit`] |
//! | How long does a statement wait for a usable primary? | [`wait`] |
//! | Which statements are retried, how often, and after which pause? | [`retry`] |
//! | How is a message read that arrives slowly or in small pieces? | [`intake`] |
//! | When is a read also sent to a second database? | [`hedge`] |
//! | When is a statement given up before its deadline? | [`give_up`] |
//! | Which error does the caller receive for a statement without an answer? | [`refuse`] |
//! | What does a refusal or an answer show about the database that sent it? | [`learn`] |
//! | Which sessions are closed to make room for a new one? | [`make_room`] |
//! | When should a refused caller retry? | [`come_back`] |
//!
//! The folder owns no state, does no I/O and reads no clock; random samples are passed in. It depends on
//! types of the library, and on `Instant` for deadlines.

pub mod admit;
pub mod choose;
pub mod come_back;
pub mod give_up;
pub mod hedge;
pub mod intake;
pub mod learn;
pub mod make_room;
mod reason;
pub mod refuse;
pub mod retry;
pub mod wait;

pub use reason::Reason;

/// Kind of operation that a rule decides on. The rules differ because the risks do: a read may run twice, a
/// write may not, and a transaction has no effect before it commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// The first statement of a transaction, which determines the transaction's database.
    FirstOfTransaction,
}
