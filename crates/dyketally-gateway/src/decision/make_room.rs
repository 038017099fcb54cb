//! Which sessions are closed to make room for a new one, on a node that has as many as it can hold.
//!
//! A session with nothing asked loses nothing when it is closed: its caller connects again. Those come first of whom
//! ordinary callers are the least likely to be, and within them those that have been still for the longest time.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between two sessions that a full node closes for new ones. Callers whose sessions are closed come back;
/// without this pause, a crowd of them keeps the processor busy with new sessions, and those that stand wait for it.
const CLOSING_PAUSE: Duration = Duration::from_millis(5);

/// True when a full node that closed a session at `last` for a new one may close another at `now`.
pub fn may_close_another(last: Option<Instant>, now: Instant) -> bool {
    last.is_none_or(|last| now >= last + CLOSING_PAUSE)
}

/// What a session waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stillness {
    /// Its first message.
    Connecting,
    /// Its first statement.
    Silent,
    /// Its next statement; no transaction is open.
    Idle,
}

impl Stillness {
    /// All kinds, in the order in which sessions are closed.
    pub const ALL: [Self; 3] = [Self::Connecting, Self::Silent, Self::Idle];

    /// How long a session is still before it may be closed: a few round trips for what a caller does next, and the time
    /// that a pool of callers takes to use the session for its next operation.
    pub fn protection(self) -> Duration {
        match self {
            Self::Connecting => Duration::from_millis(250),
            Self::Silent | Self::Idle => Duration::from_millis(1_500),
        }
    }

    /// True when such sessions are also closed so that the node is ready again, though no caller asks for their room.
    pub fn gives_way_to_readiness(self) -> bool {
        self != Self::Idle
    }
}
