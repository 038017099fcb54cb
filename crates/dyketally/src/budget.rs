//! How a node's memory is divided among what callers make it hold.
//!
//! Each account has a part of the memory for one purpose, so that callers who use up one account don't keep others from
//! the rest. What needs no account is small: [`FREE_BYTES`] of each session.

/// Bytes of a session's input and of its state that are part of the memory of the session itself, and drawn on no
/// account. Most statements are shorter.
pub const FREE_BYTES: usize = 4 << 10;
/// Longest message that is drawn on [`Account::ShortMessages`], in bytes.
pub const SHORT_MESSAGE_BYTES: usize = 64 << 10;
/// Copies of a statement that exist at the same time at most: as received, as decoded, and as encoded for a database or
/// another node and for a second attempt.
pub const MESSAGE_COPIES: u64 = 4;
/// Copies of a session's state that exist beside the session's own while a statement runs: as commands, and as encoded
/// for a database or another node.
pub const STATE_COPIES: u64 = 3;
/// Most bytes of a session's values, prepared statements and names. Together with the longest statement, they fit into
/// a message between nodes.
pub const SESSION_STATE_BYTES: usize = 2 << 20;
/// Most values and prepared statements of a session.
pub const SESSION_STATE_ENTRIES: usize = 1_024;
/// Bytes that a value or prepared statement takes beside its texts.
pub const ENTRY_BYTES: usize = 128;
/// Most bytes of the rows of one answer. The answer fits into a message between nodes.
pub const ANSWER_BYTES: usize = 3 << 20;
/// Bytes that a row takes beside its text.
pub const ROW_BYTES: usize = 64;

/// What a part of the memory is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Account {
    /// Messages of up to [`SHORT_MESSAGE_BYTES`], from their first bytes to the end of their statements.
    ShortMessages,
    /// Longer messages.
    LongMessages,
    /// Values, prepared statements and names of sessions.
    SessionState,
    /// Copies of sessions' state that are sent along with statements.
    CarriedState,
    /// Answers that their callers haven't read yet.
    Answers,
    /// Statements of other nodes, which this node runs for them.
    Calls,
}

impl Account {
    /// All accounts.
    pub const ALL: [Self; 6] = [
        Self::ShortMessages,
        Self::LongMessages,
        Self::SessionState,
        Self::CarriedState,
        Self::Answers,
        Self::Calls,
    ];

    /// The account's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ShortMessages => "short_messages",
            Self::LongMessages => "long_messages",
            Self::SessionState => "session_state",
            Self::CarriedState => "carried_state",
            Self::Answers => "answers",
            Self::Calls => "calls",
        }
    }

    /// The account on which a message of `bytes` bytes is drawn.
    pub fn of_message(bytes: usize) -> Option<Self> {
        if bytes <= FREE_BYTES {
            None
        } else if bytes <= SHORT_MESSAGE_BYTES {
            Some(Self::ShortMessages)
        } else {
            Some(Self::LongMessages)
        }
    }

    /// The account's bytes on a node with `memory` bytes. All accounts together have a little more than half;
    /// the rest is for the sessions themselves and for the process.
    pub fn share_of(self, memory: u64) -> u64 {
        match self {
            Self::LongMessages => memory / 4 - Self::ShortMessages.share_of(memory),
            Self::ShortMessages | Self::Answers | Self::Calls => memory / 12,
            Self::SessionState | Self::CarriedState => memory / 16,
        }
    }
}
