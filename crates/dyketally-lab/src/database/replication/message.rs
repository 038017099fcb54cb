//! Messages among the members of a group.

use std::sync::Arc;

use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};

use crate::database::store::LogEntry;

/// A message and who sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: DatabaseName,
    /// The message.
    pub message: Message,
}

/// What one member tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote.
    VoteRequest(VoteRequest),
    /// Grants or denies a vote.
    Vote(Vote),
    /// Copies the primary's log; also its heartbeat.
    Append(Append),
    /// Answers an append.
    AppendReply(AppendReply),
    /// Asks for the term; sent by a member that lost its log.
    TermRequest,
    /// The sender's term.
    TermReply {
        /// The highest term that the sender has heard of or voted in.
        term: Term,
    },
    /// Asks the receiver to start an election at once; sent by a primary that steps down.
    ElectNow {
        /// The sender's term.
        term: Term,
    },
}

/// Whether a vote binds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// A trial that changes no term, so that a member that was cut off doesn't depose the primary.
    Trial,
    /// The vote that counts, remembered by the voter.
    Binding,
}

/// A candidate asks for a vote.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Trial or binding.
    pub kind: VoteKind,
    /// The term in which the candidate wants to lead.
    pub term: Term,
    /// The end of the candidate's log.
    pub log: LogPosition,
}

/// The answer to a vote request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vote {
    /// Trial or binding.
    pub kind: VoteKind,
    /// The term that was asked for.
    pub asked_term: Term,
    /// The voter's term.
    pub term: Term,
    /// True when the vote is granted.
    pub granted: bool,
}

/// Entries of the primary's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// The primary's term.
    pub term: Term,
    /// Number of the message among those to this member.
    pub sequence: u64,
    /// Position of the entry before `entries`.
    pub previous: LogPosition,
    /// The entries.
    pub entries: Vec<Arc<LogEntry>>,
    /// Number of entries of the primary's log.
    pub end_offset: u64,
}

/// The answer to an append.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The sender's term.
    pub term: Term,
    /// Number of the append that is answered.
    pub sequence: u64,
    /// True when the entries are in the sender's log.
    pub accepted: bool,
    /// Accepted: the offset up to which the logs are equal. Otherwise: the offset to go on from.
    pub offset: u64,
}
