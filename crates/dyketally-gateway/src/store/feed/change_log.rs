//! The recent changes that a relay sends to its followers, and how far each follower is. Owns the encoded messages;
//! relies on nothing else of the feed.
//!
//! Load pattern: hundreds of nodes start or end within a second, so that hundreds of changes arrive together, before any
//! follower's connection can send the first of them. A follower that is too far behind has to get all keys again, so a
//! log of fixed length would make a fleet that outgrows it copy all keys to all nodes with each such change.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::watch;

/// Bytes of changes that are kept however few keys there are.
const MIN_KEPT_BYTES: usize = 1 << 20;

/// The recent changes, in order and encoded.
pub struct ChangeLog {
    messages: RefCell<VecDeque<Bytes>>,
    /// Total length of `messages`.
    bytes: Cell<usize>,
    /// Number of the message after the last one; messages are numbered from zero.
    end: watch::Sender<u64>,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self {
            messages: RefCell::default(),
            bytes: Cell::default(),
            end: watch::Sender::new(0),
        }
    }
}

impl ChangeLog {
    /// Adds a message. Drops the oldest ones beyond `key_bytes`, the length of all keys and values: a follower that
    /// lacks more than that gets all keys at less cost.
    pub fn push(&self, message: Bytes, key_bytes: usize) {
        let mut messages = self.messages.borrow_mut();
        let mut bytes = self.bytes.get() + message.len();
        messages.push_back(message);
        while bytes > key_bytes.max(MIN_KEPT_BYTES)
            && messages.len() > 1
            && let Some(oldest) = messages.pop_front()
        {
            bytes -= oldest.len();
        }
        self.bytes.set(bytes);
        drop(messages);
        self.end.send_modify(|end| *end += 1);
    }

    /// A follower that lacks all messages from now on.
    pub fn follow(&self) -> Follower {
        let end = self.end.subscribe();
        let next = *end.borrow();
        Follower { next, end }
    }

    /// Number of followers.
    pub fn followers(&self) -> usize {
        self.end.receiver_count()
    }

    /// Number of the oldest message that is kept.
    fn start(&self) -> u64 {
        *self.end.borrow() - self.messages.borrow().len() as u64
    }
}

/// How far one follower is in a [`ChangeLog`].
pub struct Follower {
    /// Number of the next message that the follower lacks.
    next: u64,
    end: watch::Receiver<u64>,
}

/// Messages that a follower lacks were dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the follower lacks changes that are no longer kept; send it all keys")]
pub struct TooFarBehind;

impl Follower {
    /// Waits until the follower lacks a message. May be dropped at any time without a loss.
    pub async fn is_behind(&mut self) {
        let next = self.next;
        // Fails only after the log was dropped, which lives as long as the process.
        let _ = self.end.wait_for(|end| *end > next).await;
    }

    /// The messages that the follower lacks, which count as sent then.
    ///
    /// # Errors
    /// Some of them are no longer kept.
    pub fn take(&mut self, log: &ChangeLog) -> Result<Vec<Bytes>, TooFarBehind> {
        let Some(skipped) = self.next.checked_sub(log.start()) else {
            return Err(TooFarBehind);
        };
        let messages = log.messages.borrow();
        let lacking = messages.iter().skip(skipped as usize).cloned();
        let lacking: Vec<Bytes> = lacking.collect();
        self.next += lacking.len() as u64;
        Ok(lacking)
    }
}
