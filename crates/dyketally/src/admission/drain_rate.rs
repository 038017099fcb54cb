//! Measures how fast a tenant's queue drains, and derives the retry-after time that callers are given.

use std::time::Duration;

use rand::Rng;

use super::average::MovingAverage;
use crate::time::Timestamp;

/// Shortest retry-after time that a caller is given.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(5);
/// Longest retry-after time that a caller is given.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Range of the random factor by which a retry-after time is multiplied.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Measures the average time between two admissions of a tenant's statements while others of them wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    interval: MovingAverage,
    /// Start of the interval in progress; `None` while no statement waits.
    measured_from: Option<Timestamp>,
}

impl DrainRate {
    /// Records that a statement began to wait.
    pub(super) fn record_waiting(&mut self, now: Timestamp) {
        self.measured_from.get_or_insert(now);
    }

    /// Records that a statement was admitted; `more` says whether others still wait.
    pub(super) fn record_admission(&mut self, now: Timestamp, more: bool) {
        if let Some(start) = self.measured_from {
            self.interval.record(now.saturating_since(start));
        }
        self.measured_from = more.then_some(now);
    }

    /// Discards the interval in progress: the last waiting statement has left the queue.
    pub(super) fn stop_measuring(&mut self) {
        self.measured_from = None;
    }

    /// Average time between two admissions, without the interval in progress; `None` before the first admission.
    pub(super) fn average(&self) -> Option<Duration> {
        self.interval.value()
    }

    /// Average time between two admissions, or the length of the interval in progress if that is longer, so
    /// that a stall takes effect at once; `None` before anything has been measured.
    pub(super) fn current_interval(&self, now: Timestamp) -> Option<Duration> {
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

/// Retry-after time: the time until `waiting` statements have been admitted, one per `interval`, with jitter,
/// between [`SHORTEST_RETRY_AFTER`] and [`LONGEST_RETRY_AFTER`].
pub(super) fn retry_after(interval: Duration, waiting: usize, random: &mut impl Rng) -> Duration {
    let waiting = u32::try_from(waiting).unwrap_or(u32::MAX).max(1);
    let time_to_drain = interval.saturating_mul(waiting).min(LONGEST_RETRY_AFTER);
    let jittered = time_to_drain.mul_f64(random.random_range(JITTER));
    jittered.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER)
}
