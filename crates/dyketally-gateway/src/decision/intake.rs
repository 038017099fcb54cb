//! How an unfinished message of a caller is read.

use std::time::Duration;

/// Reads of fewer bytes than this are small ones: less than any packet but the last of a message.
const SMALL_READ_BYTES: usize = 256;
/// Number of small reads of one message after which further reads are delayed.
const UNDELAYED_SMALL_READS: u32 = 16;
/// Pause before a further read of a message that arrives in small pieces. More bytes arrive meanwhile, so that a caller
/// that sends byte by byte wakes this node at most 50 times a second.
const SMALL_READ_PAUSE: Duration = Duration::from_millis(20);

/// Longest time that a caller waits for memory of this node.
pub const MEMORY_WAIT: Duration = Duration::from_secs(1);

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
