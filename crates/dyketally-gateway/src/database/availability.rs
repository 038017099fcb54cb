//! Since when a group has had no primary that this node can use. How long statements wait for it is
//! [`crate::decision::wait`]'s to say.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::decision::wait;

/// Since when a group has had no primary that this node can use.
#[derive(Debug, Default)]
pub struct PrimaryAvailability {
    loss: Cell<Option<Loss>>,
}

/// Attempts that found no primary, one soon after the other.
#[derive(Clone, Copy, Debug)]
struct Loss {
    first: Instant,
    last: Instant,
}

impl Loss {
    /// True while one more attempt belongs to it.
    fn goes_on(&self) -> bool {
        wait::is_same_loss(self.last.elapsed())
    }
}

impl PrimaryAvailability {
    /// Records that an attempt found no primary that can be used.
    pub fn attempt_failed(&self) {
        let last = Instant::now();
        let first = self.current().map_or(last, |loss| loss.first);
        self.loss.set(Some(Loss { first, last }));
    }

    /// Records that the primary answered.
    pub fn answered(&self) {
        self.loss.set(None);
    }

    /// Until when a primary is waited for, by `latest` at the latest.
    pub fn wait_until(&self, latest: Instant) -> Instant {
        (Instant::now() + wait::for_primary(self.missing_for())).min(latest)
    }

    /// Time since the first of the attempts that found no primary; zero if there is none.
    pub fn missing_for(&self) -> Duration {
        self.current()
            .map_or(Duration::ZERO, |loss| loss.first.elapsed())
    }

    fn current(&self) -> Option<Loss> {
        self.loss.get().filter(Loss::goes_on)
    }
}
