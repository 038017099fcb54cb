//! Rounds of requests to other nodes: matches the replies of a round with the task that waits for them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc;

/// The open rounds of one kind, by number.
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
    /// Opens a round under a number that no other open round has.
    pub(super) fn open(&self, round: u64) -> Replies<T> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.open.borrow_mut().insert(round, sender);
        Replies {
            round,
            receiver,
            rounds: self.open.clone(),
        }
    }

    /// Passes a reply to the receiver of its round; drops it if the round is closed.
    pub(super) fn deliver(&self, round: u64, reply: T) {
        if let Some(sender) = self.open.borrow().get(&round) {
            // Fails only when the receiver is closed: the reply came too late.
            let _ = sender.send(reply);
        }
    }
}

/// Collects the replies of one round. Dropping it closes the round.
pub struct Replies<T> {
    /// Identifies the round in requests and replies.
    pub round: u64,
    /// The replies as they arrive.
    pub receiver: mpsc::UnboundedReceiver<T>,
    rounds: Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<T>>>>,
}

impl<T> Drop for Replies<T> {
    fn drop(&mut self) {
        self.rounds.borrow_mut().remove(&self.round);
    }
}
