//! Wakes requests that wait for a cold database, one at a time, as its rate admits them.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Denial;

use super::Pool;

/// Minimum interval between two attempts to wake a request that waits for a cold database.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(2);

impl Pool {
    /// True while the database may be cold.
    pub fn is_cold(&self) -> bool {
        self.pacer.is_cold()
    }

    /// Checks that the database's rate will admit another batch within `queue_timeout` if the database is cold, and
    /// starts the task that wakes waiting requests.
    ///
    /// # Errors
    /// The estimated wait exceeds `queue_timeout`, or this node may not send to the cold database.
    pub(super) fn check_cold_wait(
        self: &Rc<Self>,
        priority: u32,
        queue_timeout: Duration,
    ) -> Result<(), Denial> {
        let waiters = self.waiters.borrow();
        let ahead = waiters.iter().filter(|waiter| waiter.priority <= priority);
        let expected = self.pacer.expected_wait(ahead.count());
        if expected.is_ok_and(|expected| expected <= queue_timeout) {
            drop(waiters);
            self.wake_at_cold_rate();
            return Ok(());
        }
        self.pacer.record_refusal();
        Err(Denial::Cold)
    }

    /// Spawns a task that wakes waiting requests one at a time at the rate of a cold database, unless it runs.
    fn wake_at_cold_rate(self: &Rc<Self>) {
        if !self.pacer.is_cold() || self.waking_at_cold_rate.replace(true) {
            return;
        }
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let next = pool.pacer.expected_wait(0).unwrap_or_default();
                tokio::time::sleep(next.max(MIN_WAKE_INTERVAL)).await;
                pool.wake_next();
                if pool.waiters.borrow().is_empty() {
                    break;
                }
            }
            pool.waking_at_cold_rate.set(false);
        });
    }
}
