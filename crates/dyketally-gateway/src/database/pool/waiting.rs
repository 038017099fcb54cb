//! Who waits for a connection or for a turn, and whose turn it is.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::guards::Waiting;
use super::{CheckoutError, OWN_PRIORITY, Pool};
use crate::database::claim::Work;

/// What someone waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Want {
    /// A connection, and to run something on it.
    Connection(Work),
    /// To go on with a transaction.
    Turn,
}

pub(super) struct Waiter {
    pub(super) priority: u32,
    number: u64,
    want: Want,
    wake: oneshot::Sender<()>,
}

impl Pool {
    /// Transactions never take all connections: a few are left for single statements, which need
    /// them for a moment only.
    pub(super) fn admits(&self, priority: u32, want: Want) -> bool {
        let may_run = self.gate.borrow().admits();
        match want {
            // The gateway's own statements are few, and tell it what it must know.
            Want::Connection(Work::Control) => true,
            Want::Connection(_) if priority == OWN_PRIORITY => self.pacer.admits(),
            Want::Connection(work) => may_run && self.admits_work(work) && self.pacer.admits(),
            Want::Turn => may_run,
        }
    }

    fn admits_work(&self, work: Work) -> bool {
        work != Work::Transaction || self.pinned.get() < self.size.limit_of_transactions()
    }

    pub(super) async fn wait(
        self: &Rc<Self>,
        priority: u32,
        want: Want,
        until: Instant,
    ) -> Result<(), CheckoutError> {
        let (wake, woken) = oneshot::channel();
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.waiters.borrow_mut().push(Waiter {
            priority,
            number,
            want,
            wake,
        });
        let waiting = Waiting::begin(self, priority);
        let result = tokio::time::timeout_at(until, woken).await;
        drop(waiting);
        if result.is_ok() {
            return Ok(());
        }
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| waiter.number != number);
        Err(CheckoutError::Exhausted)
    }

    pub(super) fn wake_next(&self) {
        loop {
            let mut waiters = self.waiters.borrow_mut();
            let indexed = waiters.iter().enumerate();
            let admitted = indexed.filter(|(_, waiter)| self.admits(waiter.priority, waiter.want));
            let first = admitted.min_by_key(|(_, waiter)| (waiter.priority, waiter.number));
            let Some(index) = first.map(|(index, _)| index) else {
                return;
            };
            let waiter = waiters.swap_remove(index);
            if waiter.wake.send(()).is_ok() {
                return;
            }
        }
    }
}
