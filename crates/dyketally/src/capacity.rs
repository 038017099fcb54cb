//! Limits of a node's sessions by its file descriptors. [`crate::budget`] divides its memory.
//!
//! Without limits, a node runs out of descriptors for its links and databases and can then serve no
//! caller at all, or the system kills it when its memory is used up. New sessions are therefore refused
//! before that, and open sessions continue.

/// Descriptors reserved for everything but sessions: links between nodes, connections to databases and
/// the store, followers, probes. A node among 300 others needed 272 of them at 190 sessions.
const RESERVED_DESCRIPTORS: u32 = 512;
/// Connections beyond the session limit that get a refusal at the same time. Connections beyond these are
/// closed without a reply.
const MAX_CONCURRENT_REFUSALS: u32 = 128;
/// Least session limit, however few descriptors there are.
const MIN_SESSION_LIMIT: u32 = 16;
/// Share of the session limit at or below which a node that was full reports itself ready again.
const READY_AGAIN_SHARE: f64 = 0.9;

/// Resources of a node, as given in its settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// File descriptors that the node may open; `None` when they are not limited.
    pub descriptors: Option<u32>,
    /// Memory that the node may use, in mebibytes; `None` when it is not limited.
    pub memory_mb: Option<u32>,
}

/// What to do with a connection that a caller opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionVerdict {
    /// Serve it as a session.
    Serve,
    /// Refuse it with a reply that tells the caller to connect to another node.
    Refuse,
    /// Close it at once without a reply: too many refusals are already under way.
    Close,
}

impl Capacity {
    /// Most sessions that are served at the same time; `None` when they are not limited.
    pub fn sessions(self) -> Option<u32> {
        let descriptors = self.descriptors?;
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS + MAX_CONCURRENT_REFUSALS);
        Some(available.max(MIN_SESSION_LIMIT))
    }

    /// Decides on one more connection while `open` connections exist, including those being refused.
    pub fn judge(self, open: u32) -> SessionVerdict {
        match self.sessions() {
            Some(limit) if open >= limit + MAX_CONCURRENT_REFUSALS => SessionVerdict::Close,
            Some(limit) if open >= limit => SessionVerdict::Refuse,
            Some(_) | None => SessionVerdict::Serve,
        }
    }

    /// True when a node with `open` sessions should receive no new ones. A node that `was_full` stays full
    /// until a tenth of its session limit is free again.
    pub fn is_full(self, open: u32, was_full: bool) -> bool {
        let Some(limit) = self.sessions() else {
            return false;
        };
        match was_full {
            true => f64::from(open) > f64::from(limit) * READY_AGAIN_SHARE,
            false => open >= limit,
        }
    }
}
