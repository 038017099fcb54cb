//! Messages of the link between an edge and a home. Replies come in any order.

use std::time::Duration;

use bytes::Bytes;
use dyketally::configuration::sync::{PullReply, PullRequest};
use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::{DatabaseName, NodeName, RequestId, SessionId, TenantName};
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::policy::{Access, Repeat, Urgency};
pub use dyketally::session::{Freshness, TransactionStatus};
use serde::{Deserialize, Serialize};

/// Version of the messages in this module. Nodes with another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// The first message of each side of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The sender.
    pub node: NodeName,
}

/// Messages from an edge to a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EdgeMessage {
    /// Opens the link.
    Hello(Hello),
    /// Run a batch of statements.
    Execute(ExecuteRequest),
    /// The edge has passed on this many `Data` messages; the home may send as many more.
    Consumed {
        /// The request whose data was passed on.
        request: RequestId,
        /// `Data` messages passed on since the last such message.
        chunks: u32,
    },
    /// The caller no longer waits; stop the request if that is safe.
    Cancel {
        /// The request to stop.
        request: RequestId,
    },
    /// The session is over: roll back and release its transaction, if it has one.
    EndSession {
        /// The session that ended.
        session: SessionId,
    },
    /// Asks for what the sender lacks of the configuration.
    PullConfiguration(PullRequest),
}

/// Messages from a home to an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HomeMessage {
    /// Answers the edge's hello.
    Hello(Hello),
    /// Part of the reply: whole backend messages of the PostgreSQL protocol, without `ReadyForQuery`.
    Data {
        /// The request this replies to.
        request: RequestId,
        /// One or more encoded backend messages.
        messages: Bytes,
    },
    /// Answers a pull of the configuration.
    Configuration(PullReply),
    /// The request is over.
    Finished {
        /// The request this replies to.
        request: RequestId,
        /// How it ended.
        completion: Completion,
    },
}

/// One batch of frontend messages that ends with `Query` or `Sync`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecuteRequest {
    /// Unique on the link.
    pub request: RequestId,
    /// The database that should run it; the home answers `Redirect` when another one should.
    pub database: DatabaseName,
    /// On whose share it runs.
    pub tenant: TenantName,
    /// The session, which names its transaction too: a session has at most one.
    pub session: SessionId,
    /// Number of the session's transaction if one is open: it is pinned to a connection at this home.
    pub transaction: Option<u64>,
    /// Whether it reads or writes.
    pub access: Access,
    /// Order within the tenant.
    pub urgency: Urgency,
    /// Whether it may be sent again.
    pub repeat: Repeat,
    /// How fresh a database must be to serve it.
    pub freshness: Freshness,
    /// Time left until the caller's deadline, when the message was sent.
    pub time_left: Duration,
    /// The statements.
    pub batch: StatementBatch,
}

/// Statements of one batch and the prepared statements they refer to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatementBatch {
    /// Prepared statements that must exist on the connection before the steps are sent.
    pub prepared: Vec<PreparedStatement>,
    /// The messages to send, in order. The last is `Query` or `Sync`.
    pub steps: Vec<Step>,
}

/// Name of a prepared statement on connections to databases: derived from text and types alone,
/// so that sessions that share a connection share the statement too.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatementName(pub String);

/// A prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Its name on connections to databases.
    pub name: StatementName,
    /// Its text.
    pub query: String,
    /// Object ids of the parameter types the caller stated; 0 where unstated.
    pub parameter_types: Vec<u32>,
}

/// One frontend message of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// Simple query. The only step of its batch.
    Query(String),
    /// The caller prepares a statement of the batch's `prepared` list; the reply must hold
    /// `ParseComplete` at this place even if the connection has the statement already.
    Parse(StatementName),
    /// Binds parameters.
    Bind {
        /// The statement to bind.
        statement: StatementName,
        /// The whole encoded `Bind` message, which refers to that name.
        encoded: Bytes,
    },
    /// Describes a statement.
    DescribeStatement(StatementName),
    /// Describes a portal by its name.
    DescribePortal(String),
    /// Executes a portal.
    Execute {
        /// The portal's name.
        portal: String,
        /// At most this many rows; 0 for all.
        max_rows: i32,
    },
    /// Closes a portal by its name.
    ClosePortal(String),
    /// The caller closes a statement: answered with `CloseComplete`, kept on the connection.
    CloseStatement(StatementName),
    /// Ends the batch.
    Sync,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// All reply data was sent before this. A database's own error is an answer too.
    Done {
        /// What the session has seen now; `None` when nothing new is known.
        seen: Option<LogPosition>,
        /// The state of the session's transaction.
        transaction: TransactionStatus,
    },
    /// Nothing was run and nothing will be.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// It can't be told whether it was run. A pinned transaction is gone.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
    /// Nothing was run: another database must serve the request.
    Redirect {
        /// The primary as this home knows it.
        primary: Option<DatabaseName>,
        /// The term in which it leads.
        term: Term,
    },
    /// The session's transaction was rolled back before this batch was sent: nothing of it stays.
    RolledBack,
}
