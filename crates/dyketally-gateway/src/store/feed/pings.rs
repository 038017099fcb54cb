//! What a follower knows of its relay by the messages between them: which pings are under way, and when
//! something arrived last. Owns both; relies on nothing else of the feed.

use std::collections::VecDeque;

use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::fleet::link::Frames;

/// Pings that may be under way: replies wait behind copies and changes, which may take a relay's link
/// seconds, and a follower that counted only the last ping's reply would have none. Not measured.
const UNDER_WAY_AT_MOST: usize = 16;

/// The pings of one relay, numbered from one.
#[derive(Debug, Default)]
pub struct Pings {
    sent: u64,
    /// When those were sent that have no reply yet, oldest first.
    under_way: VecDeque<(u64, Timestamp)>,
}

impl Pings {
    /// Records that the next ping is sent; its number.
    pub fn send(&mut self, now: Timestamp) -> u64 {
        self.sent += 1;
        if self.under_way.len() >= UNDER_WAY_AT_MOST {
            self.under_way.pop_front();
        }
        self.under_way.push_back((self.sent, now));
        self.sent
    }

    /// Records the reply to a ping; when the ping was sent, unless a later one has a reply already.
    pub fn answered(&mut self, number: u64) -> Option<Timestamp> {
        let position = self.under_way.iter().position(|(it, _)| *it == number)?;
        let (_, sent) = self.under_way.drain(..=position).next_back()?;
        Some(sent)
    }
}

/// When something arrived from a relay last, a part of a message included: a copy may take a thin link
/// longer than a relay may be silent.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// When that was.
    pub at: Instant,
    /// Bytes of the next message that had arrived by then.
    bytes: usize,
}

impl Heard {
    /// A whole message arrived at `at`.
    pub fn new(at: Instant) -> Self {
        Self { at, bytes: 0 }
    }

    /// Records how much of the next message has arrived; true if that is more than before.
    pub fn more_than_before(&mut self, frames: &Frames) -> bool {
        let bytes = frames.read_buffer().len();
        let is_more = bytes > self.bytes;
        if is_more {
            *self = Self {
                at: Instant::now(),
                bytes,
            };
        }
        is_more
    }
}
