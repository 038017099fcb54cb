//! Wakes those who wait for a database that is cold, one after the other.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Denial;

use super::Pool;

/// Shortest pause between two looks whether a cold database takes the next batch. Not measured.
const SHORTEST_PACE: Duration = Duration::from_millis(2);

impl Pool {
    /// True while the database may be cold.
    pub fn is_cold(&self) -> bool {
        self.pacer.is_cold()
    }

    /// Checks that a cold database will take a batch within `patience`, and starts the task that wakes
    /// its waiters.
    ///
    /// # Errors
    /// It won't.
    pub(super) fn await_load(
        self: &Rc<Self>,
        priority: u32,
        patience: Duration,
    ) -> Result<(), Denial> {
        let waiters = self.waiters.borrow();
        let ahead = waiters.iter().filter(|waiter| waiter.priority <= priority);
        let expected = self.pacer.expected_wait(ahead.count());
        if expected.is_ok_and(|expected| expected <= patience) {
            drop(waiters);
            self.pace_waiters();
            return Ok(());
        }
        self.pacer.refused();
        Err(Denial::Cold)
    }

    /// Wakes those who wait for a cold database, one after the other, as it takes them.
    fn pace_waiters(self: &Rc<Self>) {
        if !self.pacer.is_cold() || self.pacing.replace(true) {
            return;
        }
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let next = pool.pacer.expected_wait(0).unwrap_or_default();
                tokio::time::sleep(next.max(SHORTEST_PACE)).await;
                pool.wake_next();
                if pool.waiters.borrow().is_empty() {
                    break;
                }
            }
            pool.pacing.set(false);
        });
    }
}
