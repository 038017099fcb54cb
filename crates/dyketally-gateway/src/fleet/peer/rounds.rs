//! Rounds of questions to other nodes: who waits for the replies of which round.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc;

/// The rounds of one kind that are open, by number.
pub(super) struct Rounds<T> {
    open: Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<T>>>>,
}

impl<T> Default for Rounds<T> {
    fn default() -> Self {
        Self {
            open: Rc::default(),
        }
    }
}

impl<T> Rounds<T> {
    /// Opens a round under a number that no other has.
    pub(super) fn open(&self, round: u64) -> Replies<T> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.open.borrow_mut().insert(round, sender);
        Replies {
            round,
            receiver,
            rounds: self.open.clone(),
        }
    }

    /// Passes a reply on to those who wait for it.
    pub(super) fn deliver(&self, round: u64, reply: T) {
        if let Some(sender) = self.open.borrow().get(&round) {
            // Fails only when the round has just ended: the reply came too late.
            let _ = sender.send(reply);
        }
    }
}

/// The replies of one round, collected until it is dropped.
pub struct Replies<T> {
    /// Names the round in questions and replies.
    pub round: u64,
    /// The replies.
    pub receiver: mpsc::UnboundedReceiver<T>,
    rounds: Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<T>>>>,
}

impl<T> Drop for Replies<T> {
    fn drop(&mut self) {
        self.rounds.borrow_mut().remove(&self.round);
    }
}
