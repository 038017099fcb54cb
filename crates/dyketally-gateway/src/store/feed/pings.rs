//! A follower's record of its connection to a relay: the pings that have no reply yet, and when data last arrived.
//! Relies on nothing else of the feed.

use std::collections::VecDeque;

use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::fleet::link::Frames;

/// Number of pings without a reply that are remembered. Replies queue behind snapshots and changes, which may take
/// seconds on a relay's link; a follower that accepted only the reply to its latest ping might never get one.
const MAX_OUTSTANDING: usize = 16;

/// The pings sent to one relay, numbered from one.
#[derive(Debug, Default)]
pub struct Pings {
    sent: u64,
    /// Number and time of sending of each ping that has no reply yet, oldest first.
    outstanding: VecDeque<(u64, Timestamp)>,
}

impl Pings {
    /// Records that the next ping is sent at `now`; returns its number.
    pub fn send(&mut self, now: Timestamp) -> u64 {
        self.sent += 1;
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back((self.sent, now));
        self.sent
    }

    /// Records the reply to a ping; returns when the ping was sent. `None` if a reply to this ping or to a later one
    /// was recorded before, or if the ping isn't remembered.
    pub fn record_reply(&mut self, number: u64) -> Option<Timestamp> {
        let position = self.outstanding.iter().position(|(it, _)| *it == number)?;
        let (_, sent) = self.outstanding.drain(..=position).next_back()?;
        Some(sent)
    }
}

/// When data last arrived from a relay. A part of a message counts: on a slow link a snapshot may take longer than
/// the silence after which a relay is given up.
#[derive(Clone, Copy, Debug)]
pub struct LastReceived {
    /// When data last arrived.
    pub at: Instant,
    /// Bytes of the next, incomplete message that had arrived by then.
    bytes: usize,
}

impl LastReceived {
    /// The record after a complete message arrived at `at`.
    pub fn new(at: Instant) -> Self {
        Self { at, bytes: 0 }
    }

    /// Records how many bytes of the next message have arrived; true if there are more than at the last call.
    pub fn record_progress(&mut self, frames: &Frames) -> bool {
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
