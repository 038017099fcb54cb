//! Events of a history.

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
    /// What a write is recorded under. A caller that sends a write again uses the same key.
    Key
);
text_type!(
    /// A caller's session, under the same name at every edge it roams to.
    SessionName
);
text_type!(
    /// A transaction as databases see it, or a single statement outside of one.
    TransactionName
);

/// A request of a caller; unique in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestNumber(pub u64);

/// Digest of a configuration's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

/// One entry that a write adds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key. Only requests that repeat each other share a key.
    pub key: Key,
    /// Its value.
    pub value: String,
}

/// A caller sends a write: a statement, or a whole transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBegan {
    /// The request.
    pub request: RequestNumber,
    /// The caller's session.
    pub session: SessionName,
    /// What it adds: all of it or nothing.
    pub entries: Vec<Entry>,
    /// Whether the system may send it to a database more than once.
    pub repeat: Repeat,
}

/// What the caller was told of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// It was run.
    Acknowledged,
    /// It was not run: refused, rolled back, or rejected by the database.
    NotRun,
    /// It may have been run, or the caller lost its connection.
    Unknown,
}

/// A caller is told of a write's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteEnded {
    /// The request.
    pub request: RequestNumber,
    /// What the caller was told.
    pub outcome: WriteOutcome,
}

/// A caller looks up a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupBegan {
    /// The request.
    pub request: RequestNumber,
    /// The caller's session.
    pub session: SessionName,
    /// The key.
    pub key: Key,
}

/// What a lookup found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LookupAnswer {
    /// The key with this value.
    Found(String),
    /// No such key.
    Absent,
    /// The lookup was not answered.
    Failed,
}

/// A caller gets the answer of a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupEnded {
    /// The request.
    pub request: RequestNumber,
    /// The answer.
    pub answer: LookupAnswer,
}

/// How a transaction ended at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactionEnd {
    /// Its changes are in the database's log.
    Committed,
    /// It changed nothing.
    RolledBack,
}

/// A database runs a statement on one of its connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The database.
    pub database: DatabaseName,
    /// Number of the connection; never reused by the database.
    pub connection: u64,
    /// The transaction it belongs to.
    pub transaction: TransactionName,
    /// The write that it carries out, where that is known.
    pub write: Option<RequestNumber>,
    /// How the transaction ends with it; `None` while it stays open.
    pub end: Option<TransactionEnd>,
    /// When, on the clock of [`Event::Leaving`].
    pub at: Timestamp,
}

/// One event. The order of events is the order in which they happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A caller sends a write.
    WriteBegan(WriteBegan),
    /// A caller is told of a write's outcome.
    WriteEnded(WriteEnded),
    /// A caller looks up a key.
    LookupBegan(LookupBegan),
    /// A caller gets the answer of a lookup.
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
        /// The database.
        database: DatabaseName,
        /// When.
        at: Timestamp,
    },
    /// A planned stop of a node ends.
    Stopped {
        /// The node, with its incarnation.
        node: NodeName,
        /// Requests in flight that it cut off.
        cut_off: u64,
    },
    /// An operator's change of the configuration was accepted.
    Accepted {
        /// The revision that the change made.
        revision: Revision,
        /// The content of that revision.
        digest: Digest,
    },
    /// An operator was told that a change was not accepted and never will be.
    Refused {
        /// The content of the revision that it would have made.
        digest: Digest,
    },
    /// A node puts a configuration in force.
    InForce {
        /// The node, with its incarnation.
        node: NodeName,
        /// The revision.
        revision: Revision,
        /// Its content.
        digest: Digest,
    },
    /// The configuration that a node ends with, after all faults have healed.
    FinalConfiguration {
        /// The node, with its incarnation.
        node: NodeName,
        /// The revision.
        revision: Revision,
    },
    /// A key in the group's final log.
    FinalEntry {
        /// The key.
        key: Key,
        /// Its value.
        value: String,
        /// How many times it was applied.
        times: u64,
    },
}

/// A line that is not an event.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the history is not an event; record the run again: {source}")]
pub struct MalformedHistory {
    /// Number of the line, from 1.
    pub line: usize,
    /// Why.
    pub source: serde_json::Error,
}

/// Reads a history: one event in JSON a line; empty lines don't count.
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

/// The event as one line of a history, without the line's end.
pub fn write_line(event: &Event) -> String {
    serde_json::to_string(event).expect("events have text keys only")
}
