//! Events of a history and their form as lines of JSON.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::identifiers::{DatabaseName, NodeName};
use crate::policy::{Repeat, Revision};
use crate::time::Timestamp;

macro_rules! text_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_type!(
    /// The key of an entry. A caller that sends a write again uses the same keys.
    Key
);
text_type!(
    /// Name of a caller's session, the same at every edge that the session moves to.
    SessionName
);
text_type!(
    /// Name of a transaction at a database, or of a single statement outside of a transaction.
    TransactionName
);

/// Number of a caller's request, unique in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestNumber(pub u64);

/// Digest of a configuration's documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

/// One entry that a write adds to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's key. Only repetitions of the same request share a key.
    pub key: Key,
    /// The entry's value.
    pub value: String,
}

/// A caller sends a write: a statement, or a whole transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBegan {
    /// The request.
    pub request: RequestNumber,
    /// The caller's session.
    pub session: SessionName,
    /// The entries that the write adds: either all of them or none.
    pub entries: Vec<Entry>,
    /// Whether the system may send it to a database more than once.
    pub repeat: Repeat,
}

/// The outcome of a write, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// The write was run.
    Acknowledged,
    /// The write was not run: it was refused, rolled back, or rejected by the database.
    NotRun,
    /// The write may have been run, or the caller lost its connection.
    Unknown,
}

/// A write's outcome is reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteEnded {
    /// The request.
    pub request: RequestNumber,
    /// The reported outcome.
    pub outcome: WriteOutcome,
}

/// A caller looks up a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupBegan {
    /// The request.
    pub request: RequestNumber,
    /// The caller's session.
    pub session: SessionName,
    /// The key to look up.
    pub key: Key,
}

/// The result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LookupAnswer {
    /// The key exists with this value.
    Found(String),
    /// The key doesn't exist.
    Absent,
    /// The lookup was not answered.
    Failed,
}

/// A lookup's result reaches its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupEnded {
    /// The request.
    pub request: RequestNumber,
    /// The result of the lookup.
    pub answer: LookupAnswer,
}

/// How a transaction ended at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactionEnd {
    /// The transaction's changes are in the database's log.
    Committed,
    /// The transaction changed nothing.
    RolledBack,
}

/// A database runs a statement on one of its connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The database that runs the statement.
    pub database: DatabaseName,
    /// Number of the connection; the database never reuses it.
    pub connection: u64,
    /// The transaction that the statement belongs to.
    pub transaction: TransactionName,
    /// The write that the statement carries out, if known.
    pub write: Option<RequestNumber>,
    /// How the statement ends the transaction; `None` if the transaction stays open.
    pub end: Option<TransactionEnd>,
    /// When the statement ran, on the same clock as [`Event::Leaving`].
    pub at: Timestamp,
}

/// One event. The order of events is the order in which they happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A caller sends a write.
    WriteBegan(WriteBegan),
    /// A write's outcome is reported to its caller.
    WriteEnded(WriteEnded),
    /// A caller looks up a key.
    LookupBegan(LookupBegan),
    /// A lookup's result reaches its caller.
    LookupEnded(LookupEnded),
    /// A database runs a statement.
    Statement(Statement),
    /// A connection of a database is closed; a transaction open on it is rolled back.
    ConnectionClosed {
        /// The database.
        database: DatabaseName,
        /// Number of the connection.
        connection: u64,
    },
    /// The platform announces that a database is leaving.
    Leaving {
        /// The leaving database.
        database: DatabaseName,
        /// When the announcement was made, on the same clock as [`Statement::at`].
        at: Timestamp,
    },
    /// A planned stop of a node ends.
    Stopped {
        /// The node, with its incarnation.
        node: NodeName,
        /// Number of requests in flight that the stop cut off.
        cut_off: u64,
    },
    /// An operator's change of the configuration was accepted.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
        /// Digest of that revision's documents.
        digest: Digest,
    },
    /// An operator was told that a change was not accepted and never will be.
    Refused {
        /// Digest of the documents that the change would have resulted in.
        digest: Digest,
    },
    /// A configuration takes effect on a node.
    InForce {
        /// The node, with its incarnation.
        node: NodeName,
        /// The revision.
        revision: Revision,
        /// Digest of the revision's documents.
        digest: Digest,
    },
    /// The configuration that a node has at the end of the run, after all faults have ended.
    FinalConfiguration {
        /// The node, with its incarnation.
        node: NodeName,
        /// The revision.
        revision: Revision,
    },
    /// An entry of the group's final log.
    FinalEntry {
        /// The entry's key.
        key: Key,
        /// The entry's value.
        value: String,
        /// Number of times that the entry was applied.
        times: u64,
    },
}

/// A line of a history is not an event.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the history is not an event; record the run again: {source}")]
pub struct MalformedHistory {
    /// Number of the line, counted from 1.
    pub line: usize,
    /// Why the line can't be parsed.
    pub source: serde_json::Error,
}

/// Reads a history with one JSON event per line; blank lines are skipped.
pub fn read_lines(text: &str) -> Result<Vec<Event>, MalformedHistory> {
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|source| MalformedHistory {
                line: index + 1,
                source,
            })
        })
        .collect()
}

/// The event as one line of a history, without the line break.
pub fn write_line(event: &Event) -> String {
    serde_json::to_string(event).expect("events have text keys only")
}
