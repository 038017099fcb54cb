//! What the simulated processes tell each other.

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

#[derive(Clone, Debug)]
pub struct Execute {
    pub request: u64,
    pub member: usize,
    pub client: usize,
    pub session: SessionKey,
    pub transaction: Option<u64>,
    /// For the history only.
    pub transaction_name: String,
    pub write: Option<RequestNumber>,
    pub operation: Operation,
    pub freshness: Freshness,
    pub time_left: std::time::Duration,
}

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

#[derive(Clone, Debug)]
pub enum Statement {
    Status,
    Lookup {
        key: Key,
    },
    /// A recorded write comes with the key of its entry in the ledger.
    Write {
        entries: Vec<Entry>,
        ledger_key: Option<u64>,
    },
    /// Enters that the write must not run any more, unless the ledger holds its key.
    Bar {
        write: u64,
    },
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

/// What the ledger holds under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerAnswer {
    Committed,
    Barred,
}

/// A statement with what the history needs to know of it.
#[derive(Clone, Debug)]
pub struct Labelled {
    pub statement: Statement,
    pub transaction_name: String,
    pub write: Option<RequestNumber>,
}

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

#[derive(Clone, Debug)]
pub enum Payload {
    /// Asks for a connection that counts against the limit.
    Open,
    Opened,
    Refused {
        leaving: bool,
    },
    Run(Box<Labelled>),
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
    /// To and from the key-value service.
    Service(Box<ServiceMessage>),
    Closed,
}

/// The primary's log as of one moment.
#[derive(Clone, Debug)]
pub struct Replicate {
    pub term: Term,
    pub log: Vec<LogEntry>,
}

#[derive(Clone, Debug)]
pub enum ClientAnswer {
    Write(WriteOutcome),
    Lookup(LookupAnswer),
    /// Nothing was run; connect to another node.
    GoElsewhere,
}

/// An edge's answer on a caller's connection.
#[derive(Clone, Debug)]
pub struct ClientMessage {
    pub client: usize,
    /// Number of the caller's connection; an answer on an earlier one is never read.
    pub connection: u64,
    pub request: RequestNumber,
    pub answer: ClientAnswer,
    pub token: Option<SessionToken>,
}
