//! How an unfinished message of a caller is read.

use std::time::Duration;

use tokio::time::Instant;

/// Reads of fewer bytes than this are small ones: less than any packet but the last of a message.
const SMALL_READ_BYTES: usize = 256;
/// Number of small reads of one message after which further reads are delayed.
const UNDELAYED_SMALL_READS: u32 = 16;
/// Pause before a further read of a message that arrives in small pieces. More bytes arrive meanwhile, so that a caller
/// that sends byte by byte wakes this node at most 50 times a second.
const SMALL_READ_PAUSE: Duration = Duration::from_millis(20);

/// Longest time that a caller waits for memory of this node.
pub const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Longest time from the first bytes of a message to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which an unfinished message keeps memory that others wait for.
const CONTENDED_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two checks whether others wait for the memory of an unfinished message.
const CONTENTION_CHECK: Duration = Duration::from_millis(100);

/// How far an unfinished message has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// When its first bytes arrived; `None` while there are none.
    pub began: Option<Instant>,
    /// When memory was reserved for it; `None` while it needs none.
    pub reserved: Option<Instant>,
    /// True while other messages wait for such memory.
    pub is_contended: bool,
}

/// True when an unfinished message has taken so long that its caller is refused.
pub fn is_late(arrival: &Arrival, now: Instant) -> bool {
    let is_old = |since: Option<Instant>, limit| since.is_some_and(|since| now >= since + limit);
    let is_in_the_way = arrival.is_contended && is_old(arrival.reserved, CONTENDED_TIMEOUT);
    is_in_the_way || is_old(arrival.began, MESSAGE_TIMEOUT)
}

/// When to check next whether an unfinished message is late; `None` if no message has begun.
pub fn next_check(arrival: &Arrival, now: Instant) -> Option<Instant> {
    let timeout = arrival.began? + MESSAGE_TIMEOUT;
    match arrival.reserved {
        Some(_) => Some(timeout.min(now + CONTENTION_CHECK)),
        None => Some(timeout),
    }
}

/// Counts the small reads of a caller's message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SmallReads(u32);

impl SmallReads {
    /// Records a read that returned `bytes` bytes.
    pub fn record(&mut self, bytes: usize) {
        self.0 += u32::from(bytes < SMALL_READ_BYTES);
    }

    /// How long to wait before the next read of the message.
    pub fn pause(self) -> Option<Duration> {
        (self.0 >= UNDELAYED_SMALL_READS).then_some(SMALL_READ_PAUSE)
    }
}
