//! The queue of requests that wait for a connection or to continue a transaction.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::guards::Waiting;
use super::{CheckoutError, GATEWAY_PRIORITY, Pool};
use crate::database::connection_request::ConnectionUse;

/// What a queued request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitFor {
    /// A connection for this purpose.
    Connection(ConnectionUse),
    /// Admission of a further batch of a transaction, which has its connection already.
    Continuation,
}

/// A queued request. Waiting requests are woken by priority, and by arrival within a priority.
pub(super) struct Waiter {
    pub(super) priority: u32,
    number: u64,
    wait_for: WaitFor,
    wake: oneshot::Sender<()>,
}

impl Pool {
    /// True when a request may proceed now. Some connections are reserved for single statements, which use them
    /// only briefly.
    pub(super) fn admits(&self, priority: u32, wait_for: WaitFor) -> bool {
        let may_run = self.gate.borrow().admits();
        match wait_for {
            // Control requests are few, and the gateway depends on their answers.
            WaitFor::Connection(ConnectionUse::Control) => true,
            WaitFor::Connection(_) if priority == GATEWAY_PRIORITY => self.pacer.admits(),
            WaitFor::Connection(usage) => may_run && self.admits_use(usage) && self.pacer.admits(),
            WaitFor::Continuation => may_run,
        }
    }

    fn admits_use(&self, usage: ConnectionUse) -> bool {
        usage != ConnectionUse::Transaction || self.pinned.get() < self.size.transaction_limit()
    }

    /// Queues a request until it is woken; [`CheckoutError::Exhausted`] if that doesn't happen by `until`.
    pub(super) async fn wait(
        self: &Rc<Self>,
        priority: u32,
        wait_for: WaitFor,
        until: Instant,
    ) -> Result<(), CheckoutError> {
        let (wake, woken) = oneshot::channel();
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.waiters.borrow_mut().push(Waiter {
            priority,
            number,
            wait_for,
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

    /// Wakes the first waiting request that may proceed now.
    pub(super) fn wake_next(&self) {
        loop {
            let mut waiters = self.waiters.borrow_mut();
            let indexed = waiters.iter().enumerate();
            let admitted =
                indexed.filter(|(_, waiter)| self.admits(waiter.priority, waiter.wait_for));
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
