//! Violations of the system's guarantees that the checker finds in a history.

use super::{Key, LookupBegan, RequestNumber, Statement, TransactionName};
use crate::identifiers::NodeName;
use crate::policy::Revision;

/// A violation of one of the system's guarantees, as the history shows it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A session did not read its own acknowledged write.
    #[error("session {} did not find {}, which it wrote, in lookup {:?}", lookup.session, lookup.key, lookup.request)]
    OwnWriteNotRead {
        /// The lookup.
        lookup: LookupBegan,
    },
    /// A lookup's answer is a value that was never written under its key.
    #[error(
        "lookup {:?} of {} was answered with {value:?}, which was never written under this key",
        lookup.request, lookup.key
    )]
    ForeignAnswer {
        /// The lookup.
        lookup: LookupBegan,
        /// The answer.
        value: String,
    },
    /// A reply arrived for a request that was not waiting for one.
    #[error(
        "a reply arrived for request {request:?}, which was not waiting for a reply of its kind"
    )]
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
    /// The final log lacks some or all entries of an acknowledged write.
    #[error("request {request:?} was acknowledged, but the final log doesn't hold all its entries")]
    AcknowledgedWriteLost {
        /// The request.
        request: RequestNumber,
    },
    /// An entry was applied more than once, though no write of its key is repeatable.
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
    /// A key is in the final log, though each of its writes was reported to its caller as not run.
    #[error("{key} is in the final log, though its callers were told that it was not run")]
    NotRunWasApplied {
        /// The key.
        key: Key,
    },
    /// A database committed a write that was reported to its caller as not run.
    #[error("request {request:?} was reported as not run, but a database committed it")]
    NotRunWasCommitted {
        /// The request.
        request: RequestNumber,
    },
    /// The final log holds an entry that no caller wrote.
    #[error("the final log holds {key} with a value that no caller wrote")]
    ForeignEntry {
        /// The key.
        key: Key,
    },
    /// A write was applied in part.
    #[error("the final log holds only some entries of request {request:?}")]
    AppliedInPart {
        /// The request.
        request: RequestNumber,
    },
    /// A connection carried a statement of another transaction than the one open on it.
    #[error(
        "connection {} of {} carried {} while {open} was open on it",
        statement.connection, statement.database, statement.transaction
    )]
    TransactionsMixed {
        /// The transaction that was open.
        open: TransactionName,
        /// The statement of another transaction.
        statement: Statement,
    },
    /// A transaction continued on another connection than the one it began on, or after its end.
    #[error(
        "{} continued on connection {} of {}, where it was not open",
        statement.transaction, statement.connection, statement.database
    )]
    TransactionMoved {
        /// The statement with which the transaction continued.
        statement: Statement,
    },
    /// A transaction began at a leaving database after [`CheckSettings::leaving_grace`].
    ///
    /// [`CheckSettings::leaving_grace`]: super::CheckSettings::leaving_grace
    #[error("{} was leaving, but {} began there after the grace period", statement.database, statement.transaction)]
    WorkAfterLeaving {
        /// The first statement of the transaction.
        statement: Statement,
    },
    /// A planned stop cut off requests in flight.
    #[error("the planned stop of {node} cut off {cut_off} requests")]
    StopCutOff {
        /// The node.
        node: NodeName,
        /// Number of requests that were cut off.
        cut_off: u64,
    },
    /// A node returned to an older configuration.
    #[error("{node} returned from revision {from:?} to the older {to:?}")]
    ConfigurationReverted {
        /// The node.
        node: NodeName,
        /// The newest revision that the node had in force.
        from: Revision,
        /// The older revision that it returned to.
        to: Revision,
    },
    /// One revision has different contents at different places.
    #[error("revision {revision:?} has two different contents")]
    ConfigurationForked {
        /// The revision.
        revision: Revision,
    },
    /// A change is in force, though its operator was told that it was refused.
    #[error("revision {revision:?} is in force, though its operator was told that it was refused")]
    RefusedInForce {
        /// The revision.
        revision: Revision,
    },
    /// A node ended without the newest accepted configuration.
    #[error("{node} ended with revision {revision:?}, but {accepted:?} is the newest accepted one")]
    ConfigurationMissed {
        /// The node.
        node: NodeName,
        /// The revision that the node ended with.
        revision: Revision,
        /// The newest accepted revision.
        accepted: Revision,
    },
}
