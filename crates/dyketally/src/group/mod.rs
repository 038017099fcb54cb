//! A database group as its members report it: roles, terms and log positions.
//!
//! [`GroupView`] keeps the members' last known status and derives which member leads. [`Confirmations`] confirms,
//! before a caller is answered, that the member has not been replaced as the primary.

mod confirmation;
mod view;

pub use confirmation::{
    ConfirmationResult, Confirmations, FinishedWrite, ProbePacing, Resolved, Round, RoundNumber,
};
pub use view::{GroupEvent, GroupView, SeenStatus};

use serde::{Deserialize, Serialize};

/// The election term of a database group. Grows with each change of primary.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A position in a database's log: the term in which the log was last extended, then the offset.
///
/// Ordered by term, then by offset. A log at `(t, p)` contains every *confirmed* write at
/// `(s, q)` with `s <= t` and `q <= p`: an elected primary's log holds all confirmed writes of
/// earlier terms, and logs of one term are prefixes of each other. A new primary is expected to
/// extend its log at once by an entry of its own term, as a change of timeline does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the last entry of the log; PostgreSQL calls it a timeline.
    pub term: Term,
    /// Offset of the end of the log, in the unit that the database reports. Grows within a term.
    pub offset: u64,
}

impl LogPosition {
    /// True when a log that ends here contains the confirmed write that ended at `write`.
    pub fn contains(self, write: LogPosition) -> bool {
        self.term >= write.term && self.offset >= write.offset
    }
}

/// The role that a database claims to have. A deposed primary may still claim to be the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// The database accepts writes.
    Primary,
    /// The database follows a primary and serves reads.
    Replica,
}

/// A database's answer to the status statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The role the database believes it has.
    pub role: Role,
    /// The highest term that the database knows of or has voted in.
    pub term: Term,
    /// The end of the database's log.
    pub log: LogPosition,
}
