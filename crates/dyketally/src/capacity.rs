//! What a node can hold: sessions by its descriptors, bytes of unread input by its memory.
//!
//! A node that takes whatever comes runs out of descriptors for its links and databases, and then
//! serves nobody; or it is ended by the system when its memory is used up. So new sessions are
//! refused first, and those that stand go on.

/// Descriptors kept for all but sessions: links between nodes, connections to databases and the
/// store, followers, probes. A node among 300 others needed 272 at 190 sessions.
const DESCRIPTORS_RESERVED: u32 = 512;
/// Further sessions that are told to go elsewhere at one time; beyond them connections are closed
/// without a word.
const REFUSED_AT_ONE_TIME: u32 = 128;
/// Sessions that are served however few descriptors there are.
const SESSIONS_AT_LEAST: u32 = 16;
/// One in so many parts of the memory holds input of callers that isn't a whole message yet. A
/// session itself takes 7.4 KB, so descriptors run out long before those fill the rest.
const INPUT_PART: u64 = 4;
/// Share of its sessions at which a node that was full calls itself ready again.
const READY_AGAIN_SHARE: f64 = 0.9;

/// What a node has, as its settings tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Descriptors that it may open; `None` where they aren't limited.
    pub descriptors: Option<u32>,
    /// Memory that it may use, in megabytes; `None` where it isn't limited.
    pub memory_mb: Option<u32>,
}

/// What becomes of a connection that a caller opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionVerdict {
    /// It becomes a session.
    Serve,
    /// Its caller is told to go elsewhere.
    Refuse,
    /// It is closed at once: even to refuse it costs more than there is.
    Close,
}

impl Capacity {
    /// Sessions that are served at one time; `None` for any number.
    pub fn sessions(self) -> Option<u32> {
        let descriptors = self.descriptors?;
        let left = descriptors.saturating_sub(DESCRIPTORS_RESERVED + REFUSED_AT_ONE_TIME);
        Some(left.max(SESSIONS_AT_LEAST))
    }

    /// What becomes of one more connection while `open` are, those that are being refused included.
    pub fn judge(self, open: u32) -> SessionVerdict {
        match self.sessions() {
            Some(limit) if open >= limit + REFUSED_AT_ONE_TIME => SessionVerdict::Close,
            Some(limit) if open >= limit => SessionVerdict::Refuse,
            Some(_) | None => SessionVerdict::Serve,
        }
    }

    /// Whether a node with `open` sessions should get new ones, where it `was_full` before: once it is
    /// full it waits until a tenth of its sessions are gone.
    pub fn is_full(self, open: u32, was_full: bool) -> bool {
        let Some(limit) = self.sessions() else {
            return false;
        };
        match was_full {
            true => f64::from(open) > f64::from(limit) * READY_AGAIN_SHARE,
            false => open >= limit,
        }
    }

    /// Bytes of input that all sessions together may keep until a message is whole.
    pub fn input_bytes(self) -> Option<u64> {
        let memory = u64::from(self.memory_mb?) << 20;
        Some(memory / INPUT_PART)
    }
}
