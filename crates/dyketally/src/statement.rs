//! Statements, failures and database status in the form that the gateway uses for all protocols.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::group::LogPosition;
use crate::policy::Access;

/// What a statement does. The protocol adapter derives it from the statement's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Begins a transaction.
    Begin {
        /// True when the transaction promises not to write, so that a replica may serve it.
        read_only: bool,
    },
    /// Ends the transaction and keeps its writes.
    Commit,
    /// Ends the transaction and discards its writes.
    Rollback,
    /// Reads data.
    Read,
    /// Writes data.
    Write,
    /// Sets a variable of the session.
    Set {
        /// The variable's name.
        name: String,
        /// The variable's new value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The session's name for the prepared statement.
        name: String,
        /// The prepared statement itself.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name for the prepared statement.
        name: String,
        /// The arguments, as the caller wrote them.
        arguments: String,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// The session's name for the prepared statement.
        name: String,
    },
}

/// A prepared statement without its name. Sessions with equal prepared statements can share one of them
/// on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// The statement's text, which is not parsed.
    pub shape: String,
}

/// Whether a session or a connection has an open transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A statement of the open transaction failed; it can only be rolled back.
    Failed,
}

/// Why a statement failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureKind {
    /// No route has the database name that the caller used.
    UnknownDatabase,
    /// The caller's key belongs to no tenant.
    Unauthenticated,
    /// The node can't tell whether the caller's key is still valid: its configuration was confirmed too
    /// long ago.
    KeyUncertain,
    /// The tenant's quota of operations is used up.
    QuotaExceeded,
    /// No database that may serve the statement is in a region that serves both its route and its tenant,
    /// or all such databases are in evacuated zones.
    NotServedHere,
    /// The database has no free slot.
    Busy,
    /// No connection to the database became free in time.
    NoConnection,
    /// The queue for the database is so long that the statement would have run too late.
    QueueTooLong,
    /// The database has started recently and takes no more requests for now.
    DatabaseCold,
    /// The transaction was aborted and none of its writes are kept.
    Aborted,
    /// The replica's log lacks the position that the statement needs.
    ReplicaBehind,
    /// The database isn't the primary of its group.
    ReadOnly,
    /// Another database answered at the address than the expected one.
    WrongDatabase,
    /// The database accepts no more connections.
    Overloaded,
    /// The statement may or may not have taken effect.
    InDoubt,
    /// The statement exceeded its time limit; it may have taken effect.
    TimedOut,
    /// The database ran the statement and it failed.
    Failed,
    /// The connection has no prepared statement of this name.
    UnknownPrepared,
    /// The statement is malformed, or not allowed in the state of its session.
    Malformed,
    /// A failure for which the protocol adapter has no other kind.
    Other,
}

impl FailureKind {
    /// True when the database certainly didn't run the statement, so that it may be sent to another one.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            FailureKind::NotServedHere
                | FailureKind::Busy
                | FailureKind::NoConnection
                | FailureKind::QueueTooLong
                | FailureKind::DatabaseCold
                | FailureKind::ReplicaBehind
                | FailureKind::ReadOnly
                | FailureKind::WrongDatabase
                | FailureKind::Overloaded
                | FailureKind::UnknownPrepared
        )
    }
}

/// A failure as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind of failure, for programs.
    pub kind: FailureKind,
    /// The explanation, for people.
    pub message: String,
}

/// The status that a database reports about itself.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct DatabaseStatus {
    /// True when the database considers itself the primary of its group.
    pub leads: bool,
    /// The database's current term.
    pub term: u64,
    /// The end of the log that the database has received.
    pub received: LogPosition,
    /// The term for which the database was last suspended or asked to step down; zero if it never was.
    pub held_term: u64,
}

impl DatabaseStatus {
    /// True when the database may be suspended: it holds a term in which no database has been seen by it to lead.
    pub fn may_be_suspended(&self) -> bool {
        !self.leads && self.held_term > self.term
    }
}

/// Shows [`DatabaseStatus::held_term`] only where it says something, as operators search logs for the other fields.
impl fmt::Debug for DatabaseStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("DatabaseStatus");
        shown.field("leads", &self.leads);
        shown.field("term", &self.term);
        shown.field("received", &self.received);
        if self.may_be_suspended() {
            shown.field("held_term", &self.held_term);
        }
        shown.finish()
    }
}
