//! The rules by which statements are placed, held, repeated, refused and given up.
//!
//! Each rule is one file. It takes named inputs, and gives a typed answer; where the answer ends a
//! statement, it carries the [`Reason`] that the log line prints. The loops in
//! `statement` collect the inputs, ask, and do as told.
//!
//! | question | rule |
//! |---|---|
//! | which database serves a read, and how is it proved that it may | [`choose`] |
//! | how long a statement waits behind others for a connection | [`admit`] |
//! | how long it waits for a primary that can't be used | [`wait`] |
//! | what is sent again, how often, after which pause | [`retry`] |
//! | when a second database is asked beside the first | [`hedge`] |
//! | when a statement is given up before its time is over | [`give_up`] |
//! | what the caller receives for a statement without an answer | [`refuse`] |
//! | what a refusal, or an answer, tells of the database | [`learn`] |
//! | when a refused caller should come back | [`come_back`] |
//!
//! This folder owns no state. It does no I/O and reads no clock; randomness is passed in. It relies on
//! types of the library, and on `Instant` for deadlines.

pub mod admit;
pub mod choose;
pub mod come_back;
pub mod give_up;
pub mod hedge;
pub mod learn;
mod reason;
pub mod refuse;
pub mod retry;
pub mod wait;

pub use reason::Reason;

/// What is being served. Rules differ between these where what is at stake does: a read may run twice, a
/// write may not, and nothing of a transaction is kept before it commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A single read.
    Read,
    /// A single write.
    Write,
    /// The first statement of a transaction, which finds the transaction's database.
    FirstOfTransaction,
}
