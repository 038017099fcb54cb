//! What the gateway needs from outside: two wire protocols, a configuration source, a database
//! directory and a way to appoint a primary. An adapter implements them; it decides nothing.

use std::net::SocketAddr;
use std::rc::Rc;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use dyketally::directory::Announcement;
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName, TenantName, ZoneName};
use dyketally::route_policy::RouteSet;
use dyketally::statement::{
    DatabaseStatus, Failure, PreparedStatement, StatementKind, TransactionState,
};
use dyketally::tenant::ApiKey;
use serde::{Deserialize, Serialize};

/// A statement as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerStatement {
    /// The caller's name for this attempt.
    pub id: Bytes,
    /// The text, which databases get unchanged.
    pub text: Bytes,
    /// What it does.
    pub kind: StatementKind,
}

/// What a caller sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Connect {
        /// The database that is asked for.
        database: String,
        /// What proves the caller's tenant, where callers need a key.
        key: ApiKey,
    },
    /// Asks for a statement.
    Statement(CallerStatement),
    /// Ends the session.
    Release,
}

/// A part of an answer, to callers and from databases alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// One row.
    Row(Bytes),
    /// The statement succeeded; with the database's signature.
    Complete(Bytes),
    /// The statement failed.
    Failed(Failure),
    /// The answer is whole.
    Ready {
        /// The state after the statement.
        state: TransactionState,
        /// The end of the database's log, if told.
        position: Option<LogPosition>,
    },
}

/// A statement of the gateway's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnStatement {
    /// Opens a transaction that only a primary takes.
    Begin,
    /// Opens a transaction that doesn't write, on a log that holds `after`.
    BeginReadOnly {
        /// The position that the log must hold.
        after: Option<LogPosition>,
    },
    /// Ends the transaction without keeping its writes.
    Rollback,
    /// Drops the connection's values and prepared statements.
    Reset,
    /// Sets a value.
    Set {
        /// Its name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The connection's name for it.
        name: String,
        /// What is prepared.
        prepared: PreparedStatement,
    },
    /// Asks for the database's status.
    Status,
    /// Makes a replica receive nothing more until a promotion, for `term`.
    Suspend {
        /// A term above every one seen.
        term: u64,
    },
    /// Ends a suspension.
    Resume,
    /// Makes a primary of a term below `term` a replica.
    StepDown {
        /// The term.
        term: u64,
    },
}

/// In whose name a connection to a database is open, for as long as it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DatabaseUser {
    /// The gateway itself, also for callers who need no key.
    Gateway,
    /// A tenant, for whose callers alone it is used.
    Tenant(TenantName),
}

/// What the gateway sends to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseCommand {
    /// Opens the connection.
    Open {
        /// The group that the database must belong to.
        group: GroupName,
        /// In whose name.
        user: DatabaseUser,
        /// The database that must answer.
        expected: DatabaseName,
    },
    /// Runs a caller's statement with its text unchanged, on a log that holds `after`.
    Run {
        /// The caller's name for the attempt.
        id: Bytes,
        /// The text.
        text: Bytes,
        /// The position that the log must hold.
        after: Option<LogPosition>,
    },
    /// Runs a prepared statement under the connection's name for it.
    Execute {
        /// The caller's name for the attempt.
        id: Bytes,
        /// The connection's name for the statement.
        name: String,
        /// The caller's arguments.
        arguments: String,
        /// The position that the log must hold.
        after: Option<LogPosition>,
    },
    /// Runs a statement of the gateway's own.
    Own(OwnStatement),
}

/// Bytes that aren't valid in a protocol. The connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; close the connection and check that the peer speaks this protocol")]
pub struct ProtocolError {
    /// What is wrong.
    pub reason: String,
}

/// The protocol of callers.
pub trait CallerProtocol {
    /// Takes one message off the front of `input`; `None` until one is whole.
    ///
    /// # Errors
    /// The bytes are no message.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<CallerMessage>, ProtocolError>;

    /// Appends a reply.
    fn encode(&self, reply: &Reply, output: &mut BytesMut);
}

/// The protocol of databases.
pub trait DatabaseProtocol {
    /// Appends a command.
    fn encode(&self, command: &DatabaseCommand, output: &mut BytesMut);

    /// Takes one part of an answer off the front of `input`; `None` until one is whole.
    ///
    /// # Errors
    /// The bytes are no reply.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<Reply>, ProtocolError>;

    /// Reads the row that answers [`OwnStatement::Status`] and its kin.
    fn status(&self, row: &[u8]) -> Option<DatabaseStatus>;
}

/// Which keys of the store hold what, and how to read them.
pub trait StoredDocuments {
    /// The prefix of all that operators write, the configuration included.
    fn operators_prefix(&self) -> String;

    /// The key of the configuration.
    fn configuration_key(&self) -> String;

    /// The zone whose evacuation is requested for as long as `key` is there.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneName>;

    /// The prefix of the databases' announcements.
    fn announcements_prefix(&self) -> String;

    /// The prefix under which the gateway keeps its own keys.
    fn own_prefix(&self) -> String;

    /// Reads a configuration.
    ///
    /// # Errors
    /// What is wrong with it.
    fn configuration(&self, value: &[u8]) -> Result<RouteSet, String>;

    /// Reads an announcement.
    ///
    /// # Errors
    /// What is wrong with it.
    fn announcement(&self, key: &str, value: &[u8]) -> Result<Announcement, String>;

    /// The database whose announcement lies under `key`.
    fn announced_database(&self, key: &str) -> Option<DatabaseName>;
}

/// What became of an appointment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appointment {
    /// Accepted: the database takes the lead shortly.
    Accepted,
    /// Refused for good: the token is too old or the database doesn't run.
    Refused,
    /// Refused for now, and nothing was done.
    Later,
    /// No answer: it may still take effect.
    Unknown,
}

/// Appoints primaries.
#[async_trait(?Send)]
pub trait PrimaryControl {
    /// Appoints `database` as primary of `group`, on behalf of `holder` with its fencing token.
    async fn appoint(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        holder: &str,
        token: u64,
    ) -> Appointment;
}

/// Recognises a readiness request by its path.
pub trait ReadinessProtocol {
    /// The response to an HTTP request head.
    fn respond(&self, head: &str, ready: bool) -> &'static str;
}

/// A protocol shared by all tasks of the process.
pub type SharedCallerProtocol = Rc<dyn CallerProtocol>;
/// A protocol shared by all tasks of the process.
pub type SharedDatabaseProtocol = Rc<dyn DatabaseProtocol>;

/// Where a process of the gateway listens for its kin.
pub type PeerAddress = SocketAddr;
