//! How long statements wait for a primary that can't be used.
//!
//! While a primary is being replaced it is best to wait: that takes a second or so. One that can't be
//! used for longer may well be used by other nodes, which callers reach when they come back; so from
//! then on a statement is refused as soon as its attempt has failed.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// How long a primary is waited for, from the first attempt that found none: replacing one takes 0.4 to
/// 0.8 s as a rule, and a promotion up to 0.6 s of that.
const REPLACED_WITHIN: Duration = Duration::from_millis(1_500);
/// Attempts that lie further apart don't belong to one loss. Not measured.
const ONE_LOSS: Duration = Duration::from_secs(1);
/// How long a statement waits for a primary that has been unavailable for long: two attempts. Not measured.
pub const SHORT_WAIT: Duration = Duration::from_millis(50);

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
        self.last.elapsed() < ONE_LOSS
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
        let now = Instant::now();
        let first = self.current().map_or(now, |loss| loss.first);
        (first + REPLACED_WITHIN).max(now + SHORT_WAIT).min(latest)
    }

    /// True when statements shouldn't wait for the primary any longer.
    pub fn is_unavailable(&self) -> bool {
        self.current()
            .is_some_and(|loss| loss.first.elapsed() >= REPLACED_WITHIN)
    }

    fn current(&self) -> Option<Loss> {
        self.loss.get().filter(Loss::goes_on)
    }
}
