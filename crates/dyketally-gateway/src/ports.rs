//! The ports of the gateway: the wire protocols of callers and of databases, the documents in the store
//! (configuration and databases' announcements), the appointment of primaries, and the readiness protocol.
//! Adapters implement them; they only translate and make no decisions.

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
    /// The statement's text, which databases get unchanged.
    pub text: Bytes,
    /// What the statement does.
    pub kind: StatementKind,
}

/// A message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Connect {
        /// The database name that the caller requests.
        database: String,
        /// The API key that identifies the caller's tenant, if callers need one.
        key: ApiKey,
    },
    /// Requests that a statement is run.
    Statement(CallerStatement),
    /// Ends the session.
    Release,
}

/// A part of an answer, to callers and from databases alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// One row of the result.
    Row(Bytes),
    /// The statement succeeded; contains the signature that the database sent with the answer.
    Complete(Bytes),
    /// The statement failed.
    Failed(Failure),
    /// The answer is complete.
    Ready {
        /// The transaction's state after the statement.
        state: TransactionState,
        /// The end of the database's log, if the database reports it.
        position: Option<LogPosition>,
    },
}

/// A statement that the gateway itself sends to a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnStatement {
    /// Opens a transaction that only a primary accepts.
    Begin,
    /// Opens a read-only transaction. The database refuses it if its log doesn't contain `after`.
    BeginReadOnly {
        /// The position that the database's log must contain; `None` for any.
        after: Option<LogPosition>,
    },
    /// Rolls back the transaction.
    Rollback,
    /// Clears the connection's session values and prepared statements.
    Reset,
    /// Sets a session value of the connection.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The connection's name for the statement.
        name: String,
        /// The statement to prepare.
        prepared: PreparedStatement,
    },
    /// Requests the database's status.
    Status,
    /// Makes a replica stop receiving the primary's log until a promotion, on behalf of `term`.
    Suspend {
        /// A term higher than all terms seen so far.
        term: u64,
    },
    /// Ends a suspension.
    Resume,
    /// Makes the database a replica if it is the primary of a term below `term`.
    StepDown {
        /// The lowest term whose primary stays primary.
        term: u64,
    },
}

/// The user as which a connection to a database is open. It stays the same until the connection is closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DatabaseUser {
    /// The gateway itself, also on behalf of callers that need no key.
    Gateway,
    /// A tenant. The connection is used only for callers of this tenant.
    Tenant(TenantName),
}

/// A command that the gateway sends to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseCommand {
    /// Opens the connection's session.
    Open {
        /// The group that the database must belong to.
        group: GroupName,
        /// The user of the connection.
        user: DatabaseUser,
        /// The name of the database that must answer.
        expected: DatabaseName,
    },
    /// Runs a caller's statement with its text unchanged. The database refuses it if its log doesn't contain
    /// `after`.
    Run {
        /// The caller's name for the attempt.
        id: Bytes,
        /// The statement's text.
        text: Bytes,
        /// The position that the database's log must contain; `None` for any.
        after: Option<LogPosition>,
    },
    /// Runs a prepared statement under the connection's name for it. The database refuses it if its log
    /// doesn't contain `after`.
    Execute {
        /// The caller's name for the attempt.
        id: Bytes,
        /// The connection's name for the statement.
        name: String,
        /// The caller's arguments.
        arguments: String,
        /// The position that the database's log must contain; `None` for any.
        after: Option<LogPosition>,
    },
    /// Runs a statement of the gateway's own.
    Own(OwnStatement),
}

/// Received bytes that aren't valid in their protocol. The connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; close the connection and check that the peer speaks this protocol")]
pub struct ProtocolError {
    /// What is wrong with the bytes.
    pub reason: String,
}

/// How a wire protocol separates its messages.
pub trait Framing {
    /// The bytes that end each message: CR LF, unless the protocol has others.
    fn message_end(&self) -> &'static [u8] {
        b"\r\n"
    }

    /// Length of the longest valid message with its end, in bytes.
    fn longest_message(&self) -> usize;
}

/// The wire protocol between callers and the gateway.
pub trait CallerProtocol: Framing {
    /// Removes one message from the front of `input` and decodes it; `None` while the message is incomplete.
    ///
    /// # Errors
    /// The bytes aren't a valid message.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<CallerMessage>, ProtocolError>;

    /// Encodes a reply and appends it to `output`.
    fn encode(&self, reply: &Reply, output: &mut BytesMut);
}

/// The wire protocol between the gateway and databases.
pub trait DatabaseProtocol: Framing {
    /// Encodes a command and appends it to `output`.
    fn encode(&self, command: &DatabaseCommand, output: &mut BytesMut);

    /// Removes one part of an answer from the front of `input` and decodes it; `None` while the part is
    /// incomplete.
    ///
    /// # Errors
    /// The bytes aren't a valid part of an answer.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<Reply>, ProtocolError>;

    /// Decodes a row with the database's status, the answer to [`OwnStatement::Status`] and similar
    /// statements; `None` if the row isn't a status.
    fn status(&self, row: &[u8]) -> Option<DatabaseStatus>;
}

/// The keys and the format of documents in the store.
pub trait StoredDocuments {
    /// The prefix of all keys that operators write, including the configuration.
    fn operators_prefix(&self) -> String;

    /// The key of the configuration.
    fn configuration_key(&self) -> String;

    /// The zone whose evacuation is requested while `key` exists; `None` for a key of another kind.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneName>;

    /// The prefix of the databases' announcements.
    fn announcements_prefix(&self) -> String;

    /// The prefix under which the gateway keeps its own keys.
    fn own_prefix(&self) -> String;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// The value isn't a valid configuration; tells what is wrong with it.
    fn configuration(&self, value: &[u8]) -> Result<RouteSet, String>;

    /// Decodes a database's announcement.
    ///
    /// # Errors
    /// The value isn't a valid announcement; tells what is wrong with it.
    fn announcement(&self, key: &str, value: &[u8]) -> Result<Announcement, String>;

    /// The database whose announcement is stored under `key`; `None` for a key of another kind.
    fn announced_database(&self, key: &str) -> Option<DatabaseName>;
}

/// The result of an appointment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appointment {
    /// Accepted: the database becomes the primary shortly.
    Accepted,
    /// Refused permanently: the token is too old or the database isn't running.
    Refused,
    /// Refused for now without any effect; the appointment may be repeated later.
    Later,
    /// No answer: the appointment may still take effect.
    Unknown,
}

/// The service that appoints primaries.
#[async_trait(?Send)]
pub trait PrimaryControl {
    /// Appoints `database` as primary of `group`, on behalf of the coordinator `holder` with its fencing
    /// `token`.
    async fn appoint(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        holder: &str,
        token: u64,
    ) -> Appointment;
}

/// The HTTP protocol of readiness probes.
pub trait ReadinessProtocol {
    /// The response to an HTTP request with the given head; the path tells whether it is a readiness probe.
    fn respond(&self, head: &str, ready: bool) -> &'static str;
}

/// The callers' protocol, shared by all tasks of the process.
pub type SharedCallerProtocol = Rc<dyn CallerProtocol>;
/// The databases' protocol, shared by all tasks of the process.
pub type SharedDatabaseProtocol = Rc<dyn DatabaseProtocol>;

/// The address at which a node of the gateway listens for other nodes.
pub type PeerAddress = SocketAddr;
