//! Records since when a group has had no primary that this node can use. [`crate::decision::wait`] derives from
//! it how long statements wait for one.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::decision::wait;

/// Since when a group has had no usable primary, from the attempts that found none.
#[derive(Debug, Default)]
pub struct PrimaryAvailability {
    loss: Cell<Option<Loss>>,
}

/// A series of failed attempts, each of them soon after the one before.
#[derive(Clone, Copy, Debug)]
struct Loss {
    first: Instant,
    last: Instant,
}

impl Loss {
    /// True while another failed attempt would belong to this loss rather than begin a new one.
    fn is_ongoing(&self) -> bool {
        wait::is_same_outage(self.last.elapsed())
    }
}

impl PrimaryAvailability {
    /// Records that an attempt found no usable primary.
    pub fn record_failed_attempt(&self) {
        let last = Instant::now();
        let first = self.current().map_or(last, |loss| loss.first);
        self.loss.set(Some(Loss { first, last }));
    }

    /// Records that the primary answered.
    pub fn record_answer(&self) {
        self.loss.set(None);
    }

    /// Until when a statement waits for a primary; never after `latest`.
    pub fn wait_until(&self, latest: Instant) -> Instant {
        (Instant::now() + wait::primary_wait(self.missing_for())).min(latest)
    }

    /// Time since the first attempt of the current loss; zero while no attempt has failed.
    pub fn missing_for(&self) -> Duration {
        self.current()
            .map_or(Duration::ZERO, |loss| loss.first.elapsed())
    }

    fn current(&self) -> Option<Loss> {
        self.loss.get().filter(Loss::is_ongoing)
    }
}
