//! Counts and logs that a limit for callers has acted.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Context;
use crate::event::Event;

/// Shortest time between two log lines of the same limit.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// A limit for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limit {
    /// A message wasn't read, since the memory for messages is in use.
    MessageMemory,
    /// A message didn't arrive in time.
    SlowMessage,
    /// A value, a prepared statement or a name was refused: the session has too many, or the memory for them is in use.
    SessionState,
    /// A statement was refused, since the memory for the state that it carries is in use.
    CarriedState,
    /// A session was closed that didn't read its answer while the memory for answers was in use.
    UnreadAnswer,
    /// An answer was longer than the longest that is passed on.
    LongAnswer,
    /// A statement of another node was refused, since the memory for such statements is in use.
    Calls,
    /// A connection was closed to make room for a new session.
    Sessions,
    /// A statement waited since it was sent before the answer to the preceding one, like many others.
    SentAhead,
}

impl Limit {
    /// The limit's name in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::MessageMemory => "message_memory",
            Self::SlowMessage => "slow_message",
            Self::SessionState => "session_state",
            Self::CarriedState => "carried_state",
            Self::UnreadAnswer => "unread_answer",
            Self::LongAnswer => "long_answer",
            Self::Calls => "calls",
            Self::Sessions => "sessions",
            Self::SentAhead => "sent_ahead",
        }
    }
}

/// When each limit was logged last.
#[derive(Default)]
pub struct LimitLog {
    last: RefCell<BTreeMap<Limit, LastLine>>,
}

struct LastLine {
    at: Instant,
    /// Number of times that the limit acted since then.
    unlogged: u64,
}

impl Context {
    /// Counts that `limit` acted on `caller`, and logs it unless the limit was logged just before.
    pub fn limit_acted(&self, limit: Limit, caller: Option<SocketAddr>) {
        self.counters.limited.add(limit.name(), 1);
        let mut lines = self.limits.last.borrow_mut();
        let now = Instant::now();
        let unlogged = match lines.get_mut(&limit) {
            Some(last) if now < last.at + LINE_INTERVAL => {
                last.unlogged += 1;
                return;
            }
            Some(last) => last.unlogged,
            None => 0,
        };
        let line = LastLine {
            at: now,
            unlogged: 0,
        };
        lines.insert(limit, line);
        self.events.write(&Event::CallerLimited {
            limit: limit.name(),
            caller: caller.map(|caller| caller.to_string()),
            unlogged,
        });
    }
}
