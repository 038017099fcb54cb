//! How fast a tenant's queue drains, and the time to come back that follows from it.

use std::time::Duration;

use rand::Rng;

use super::average::MovingAverage;
use crate::time::Timestamp;

/// Shortest time to come back that a caller is told.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(5);
/// Longest time to come back that a caller is told.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Least and greatest factor of the jitter.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Average time between two admissions of a tenant while others of its statements wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    interval: MovingAverage,
    /// Start of the interval that is being measured; `None` while nothing waits.
    measured_from: Option<Timestamp>,
}

impl DrainRate {
    /// A statement began to wait.
    pub(super) fn waiting(&mut self, now: Timestamp) {
        self.measured_from.get_or_insert(now);
    }

    /// A statement was admitted; `more` says whether others still wait.
    pub(super) fn admitted(&mut self, now: Timestamp, more: bool) {
        if let Some(start) = self.measured_from {
            self.interval.record(now.saturating_since(start));
        }
        self.measured_from = more.then_some(now);
    }

    /// The last waiting statement left without being admitted.
    pub(super) fn emptied(&mut self) {
        self.measured_from = None;
    }

    /// Average time between two admissions, as measured so far.
    pub(super) fn average(&self) -> Option<Duration> {
        self.interval.value()
    }

    /// Average time between two admissions. An interval in progress counts once it is longer
    /// than the average, so that a stall shows at once.
    pub(super) fn interval(&self, now: Timestamp) -> Option<Duration> {
        let in_progress = self
            .measured_from
            .map(|start| now.saturating_since(start))
            .unwrap_or_default();
        match self.interval.value() {
            None if in_progress.is_zero() => None,
            None => Some(in_progress),
            Some(average) => Some(average.max(in_progress)),
        }
    }
}

/// Time until `waiting` statements have been admitted at `interval`, with jitter and bounds.
pub(super) fn retry_after(interval: Duration, waiting: usize, random: &mut impl Rng) -> Duration {
    let waiting = u32::try_from(waiting).unwrap_or(u32::MAX).max(1);
    let time_to_drain = interval.saturating_mul(waiting).min(LONGEST_RETRY_AFTER);
    let jittered = time_to_drain.mul_f64(random.random_range(JITTER));
    jittered.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER)
}
