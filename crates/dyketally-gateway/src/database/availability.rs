//! Records the current outage of a group's primary: how long this node has found no primary that it can use.
//! From this, [`crate::decision::wait`] derives how long statements wait for one.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::decision::wait;

/// The last outage of a group's primary, as seen by the attempts of this node.
#[derive(Debug, Default)]
pub struct PrimaryAvailability {
    outage: Cell<Option<Outage>>,
}

/// A series of attempts that found no usable primary, each less than [`wait::SAME_OUTAGE_GAP`] after the
/// previous one.
#[derive(Clone, Copy, Debug)]
struct Outage {
    first_failure: Instant,
    last_failure: Instant,
}

impl Outage {
    /// True while another failed attempt would belong to this outage rather than begin a new one.
    fn is_ongoing(&self) -> bool {
        wait::is_same_outage(self.last_failure.elapsed())
    }
}

impl PrimaryAvailability {
    /// Records that an attempt found no usable primary.
    pub fn record_failed_attempt(&self) {
        let last_failure = Instant::now();
        let first_failure = self
            .current()
            .map_or(last_failure, |outage| outage.first_failure);
        self.outage.set(Some(Outage {
            first_failure,
            last_failure,
        }));
    }

    /// Records that the primary answered, which ends the outage.
    pub fn record_answer(&self) {
        self.outage.set(None);
    }

    /// The time until which a new write waits for a usable primary; never after `latest`.
    pub fn wait_until(&self, latest: Instant) -> Instant {
        (Instant::now() + wait::primary_wait(self.missing_for())).min(latest)
    }

    /// Time since the first failed attempt of the current outage; zero without an outage.
    pub fn missing_for(&self) -> Duration {
        self.current()
            .map_or(Duration::ZERO, |outage| outage.first_failure.elapsed())
    }

    fn current(&self) -> Option<Outage> {
        self.outage.get().filter(Outage::is_ongoing)
    }
}
