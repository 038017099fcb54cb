//! What a history can show to be broken.

use super::{Key, LookupBegan, RequestNumber, Statement, TransactionName};
use crate::identifiers::NodeName;
use crate::policy::Revision;

/// A promise that the history shows to be broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A session did not read its own acknowledged write.
    #[error("session {} did not find {}, which it wrote, in lookup {:?}", lookup.session, lookup.key, lookup.request)]
    OwnWriteNotRead {
        /// The lookup.
        lookup: LookupBegan,
    },
    /// A lookup's answer is a value that was never written under its key.
    #[error("lookup {:?} of {} was answered with {value:?}, never written there", lookup.request, lookup.key)]
    ForeignAnswer {
        /// The lookup.
        lookup: LookupBegan,
        /// The answer.
        value: String,
    },
    /// A reply came to a request that was not waiting for one.
    #[error("a reply came to request {request:?}, which was not waiting for one of its kind")]
    UnexpectedReply {
        /// The request.
        request: RequestNumber,
    },
    /// A request never got a reply.
    #[error("request {request:?} was never answered")]
    Unanswered {
        /// The request.
        request: RequestNumber,
    },
    /// An acknowledged write is not in the final log.
    #[error("request {request:?} was acknowledged and is not in the final log as a whole")]
    AcknowledgedWriteLost {
        /// The request.
        request: RequestNumber,
    },
    /// A key was applied more than once.
    #[error("{key} was applied {times} times")]
    AppliedTwice {
        /// The key.
        key: Key,
        /// How many times.
        times: u64,
    },
    /// A write that must not be repeated was run more than once.
    #[error("request {request:?} must not be repeated and was run more than once")]
    RunTwice {
        /// The request.
        request: RequestNumber,
    },
    /// A key of which every request was told not-run is in the final log.
    #[error("{key} is in the final log, though its callers were told that it was not run")]
    NotRunWasApplied {
        /// The key.
        key: Key,
    },
    /// A write that was told not-run was committed by a database.
    #[error("request {request:?} was told not-run and a database committed it")]
    NotRunWasCommitted {
        /// The request.
        request: RequestNumber,
    },
    /// The final log holds a key or value that nobody wrote.
    #[error("the final log holds {key} with a value that nobody wrote")]
    ForeignEntry {
        /// The key.
        key: Key,
    },
    /// A transaction was applied in part.
    #[error("only a part of request {request:?} is in the final log")]
    AppliedInPart {
        /// The request.
        request: RequestNumber,
    },
    /// A connection carried a statement of another transaction than the open one.
    #[error("connection {} of {} carried {} while {open} was open on it", statement.connection, statement.database, statement.transaction)]
    TransactionsMixed {
        /// The transaction that was open.
        open: TransactionName,
        /// The statement of another one.
        statement: Statement,
    },
    /// A transaction went on on another connection than it began on, or after its end.
    #[error("{} went on on connection {} of {}, where it was not open", statement.transaction, statement.connection, statement.database)]
    TransactionMoved {
        /// The statement with which it went on.
        statement: Statement,
    },
    /// A leaving database received new work too late.
    #[error("{} was leaving and received {} after the time allowed", statement.database, statement.transaction)]
    WorkAfterLeaving {
        /// The new work.
        statement: Statement,
    },
    /// A planned stop cut off requests in flight.
    #[error("the planned stop of {node} cut off {cut_off} requests")]
    StopCutOff {
        /// The node.
        node: NodeName,
        /// How many requests.
        cut_off: u64,
    },
    /// A node went back to an older configuration.
    #[error("{node} went back from revision {from:?} to {to:?}")]
    ConfigurationReverted {
        /// The node.
        node: NodeName,
        /// The newest revision it had in force.
        from: Revision,
        /// The older revision.
        to: Revision,
    },
    /// One revision has two contents.
    #[error("revision {revision:?} has two contents")]
    ConfigurationForked {
        /// The revision.
        revision: Revision,
    },
    /// A change that was told to be refused is in force.
    #[error("revision {revision:?} is in force, though its operator was told that it was refused")]
    RefusedInForce {
        /// The revision.
        revision: Revision,
    },
    /// A node did not get the newest accepted configuration.
    #[error("{node} ended with revision {revision:?}, short of {accepted:?}, the newest accepted")]
    ConfigurationMissed {
        /// The node.
        node: NodeName,
        /// What it ended with.
        revision: Revision,
        /// The newest accepted.
        accepted: Revision,
    },
}
