//! Messages between the simulated processes.

use dyketally::group::{LogPosition, MemberStatus, Term};
use dyketally::history::{Entry, Key, LookupAnswer, RequestNumber, WriteOutcome};
use dyketally::outcome::NotRunReason;
use dyketally::session::{Freshness, SessionToken, TransactionStatus};

use crate::configuration::ServiceMessage;
use crate::database::LogEntry;
use crate::environment::Place;

/// A session at one edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionKey {
    pub edge: Place,
    pub number: u64,
}

/// One statement that an edge requests of a home.
#[derive(Clone, Debug)]
pub enum Operation {
    Lookup { key: Key },
    Write { entries: Vec<Entry>, recorded: bool },
    Begin,
    Add { entry: Entry },
    Commit,
}

impl Operation {
    pub fn is_recorded(&self) -> bool {
        matches!(self, Operation::Write { recorded: true, .. })
    }

    pub fn may_change_data(&self) -> bool {
        matches!(self, Operation::Write { .. } | Operation::Commit)
    }
}

/// A request from an edge to the home of a database.
#[derive(Clone, Debug)]
pub struct Execute {
    pub request: u64,
    /// The database that is to run the operation.
    pub member: usize,
    /// The caller whose request this is.
    pub client: usize,
    pub session: SessionKey,
    pub transaction: Option<u64>,
    /// The transaction's name in the history; not used by homes.
    pub transaction_name: String,
    /// The caller's request if the operation changes data; only for the history.
    pub write: Option<RequestNumber>,
    pub operation: Operation,
    pub freshness: Freshness,
    pub time_left: std::time::Duration,
}

/// How a request ended at its home.
#[derive(Clone, Debug)]
pub enum Completion {
    Done {
        seen: Option<LogPosition>,
        transaction: TransactionStatus,
        answer: Option<LookupAnswer>,
    },
    NotRun(NotRunReason),
    Unknown,
    Redirect {
        primary: Option<usize>,
        term: Term,
    },
    RolledBack,
}

/// A statement that a home sends to a database.
#[derive(Clone, Debug)]
pub enum Statement {
    Status,
    Lookup {
        key: Key,
    },
    /// A write; a recorded write has the key of its ledger entry.
    Write {
        entries: Vec<Entry>,
        ledger_key: Option<u64>,
    },
    /// Adds a ledger entry that bars the write from running, unless the ledger already holds the write's key.
    Bar {
        write: u64,
    },
    /// Reads the ledger's entry for the write and adds none.
    ReadLedger {
        write: u64,
    },
    Begin,
    Add {
        entry: Entry,
    },
    Commit,
}

impl Statement {
    pub fn may_change_data(&self) -> bool {
        matches!(self, Statement::Write { .. } | Statement::Commit)
    }
}

/// The ledger's entry for the key of a recorded write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerAnswer {
    Committed,
    Barred,
}

/// A statement with the names that the history records for it.
#[derive(Clone, Debug)]
pub struct LabelledStatement {
    pub statement: Statement,
    pub transaction_name: String,
    pub write: Option<RequestNumber>,
}

/// A database's reply to a statement.
#[derive(Clone, Debug)]
pub enum Reply {
    Status(MemberStatus),
    Lookup(LookupAnswer),
    Applied,
    Ledger(LedgerAnswer),
    Begun,
    Added,
    ReadOnly,
    RolledBack,
}

/// A message on a connection between two processes.
#[derive(Clone, Debug)]
pub enum Payload {
    /// Requests a database connection that counts against the database's connection limit.
    Open,
    Opened,
    /// The database rejects the connection, because it is leaving or at its connection limit.
    Refused {
        leaving: bool,
    },
    Run(Box<LabelledStatement>),
    Ran(Reply),
    Execute(Box<Execute>),
    Finished {
        request: u64,
        completion: Completion,
    },
    Cancel {
        request: u64,
    },
    EndSession {
        session: SessionKey,
    },
    /// A message to or from the key-value service.
    Service(Box<ServiceMessage>),
    /// The other end has closed the connection.
    Closed,
}

/// The primary's whole log at the time of sending, for a replica.
#[derive(Clone, Debug)]
pub struct Replicate {
    pub term: Term,
    pub log: Vec<LogEntry>,
}

#[derive(Clone, Debug)]
pub enum ClientAnswer {
    Write(WriteOutcome),
    Lookup(LookupAnswer),
    /// The node is stopping and ran nothing; the caller should connect to another node.
    GoElsewhere,
}

/// An edge's answer to a caller's request.
#[derive(Clone, Debug)]
pub struct ClientMessage {
    pub client: usize,
    /// Number of the caller's connection; the caller ignores answers on its earlier connections.
    pub connection: u64,
    pub request: RequestNumber,
    pub answer: ClientAnswer,
    pub token: Option<SessionToken>,
}
