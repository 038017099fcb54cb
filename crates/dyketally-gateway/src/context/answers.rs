//! Answers that their callers haven't read yet.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// The answers that wait for their callers, and the memory that they take.
///
/// An answer exists before it is known whether there is memory for it. When all answers together take too much, those
/// whose callers have read nothing for the longest time are dropped, and their sessions closed.
pub struct UnreadAnswers {
    limit: u64,
    held: Cell<u64>,
    /// The answers, those first whose callers have read nothing for the longest time.
    answers: RefCell<BTreeMap<u64, Unread>>,
    next_key: Cell<u64>,
}

struct Unread {
    bytes: u64,
    dropped: Rc<Notify>,
}

/// An answer that its caller hasn't read completely yet. Its memory counts until this is dropped.
pub struct UnreadAnswer {
    answers: Rc<UnreadAnswers>,
    key: u64,
    dropped: Rc<Notify>,
}

impl UnreadAnswers {
    /// No answers; at most `limit` bytes may wait.
    pub(super) fn new(limit: u64) -> Rc<Self> {
        Rc::new(Self {
            limit,
            held: Cell::new(0),
            answers: RefCell::default(),
            next_key: Cell::new(0),
        })
    }

    /// Bytes of all answers.
    pub(super) fn held(&self) -> u64 {
        self.held.get()
    }

    /// Adds an answer of `bytes` bytes.
    pub fn add(self: &Rc<Self>, bytes: u64) -> UnreadAnswer {
        let dropped = Rc::new(Notify::new());
        let unread = Unread {
            bytes,
            dropped: dropped.clone(),
        };
        let key = self.insert(unread);
        self.drop_oldest(key);
        UnreadAnswer {
            answers: self.clone(),
            key,
            dropped,
        }
    }

    fn insert(&self, unread: Unread) -> u64 {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        self.held.set(self.held.get() + unread.bytes);
        self.answers.borrow_mut().insert(key, unread);
        key
    }

    fn remove(&self, key: u64) -> Option<Unread> {
        let unread = self.answers.borrow_mut().remove(&key)?;
        self.held.set(self.held.get() - unread.bytes);
        Some(unread)
    }

    /// Drops answers until the rest is within the limit; never the one of `newest`.
    fn drop_oldest(&self, newest: u64) {
        while self.held.get() > self.limit {
            let oldest = self.answers.borrow().keys().next().copied();
            let Some(oldest) = oldest.filter(|oldest| *oldest != newest) else {
                return;
            };
            if let Some(unread) = self.remove(oldest) {
                unread.dropped.notify_one();
            }
        }
    }
}

impl UnreadAnswer {
    /// Records that the caller has read a part of the answer.
    pub fn progressed(&mut self) {
        if let Some(unread) = self.answers.remove(self.key) {
            self.key = self.answers.insert(unread);
        }
    }

    /// Waits until the answer has to be dropped.
    pub async fn dropped(&self) {
        self.dropped.notified().await;
    }
}

impl Drop for UnreadAnswer {
    fn drop(&mut self) {
        self.answers.remove(self.key);
    }
}
