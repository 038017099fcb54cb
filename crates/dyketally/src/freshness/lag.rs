//! How far replicas usually are behind, learnt from what they hold when they are asked.

use std::time::Duration;

use crate::time::Timestamp;

/// Time in which the estimate halves while nothing contradicts it, so that replicas which have caught
/// up are asked again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Share of the distance by which a replica that was less behind lowers the estimate.
const LOWERED_BY: f64 = 0.25;
/// Above this the estimate doesn't grow: a replica that is further behind is out of order, and
/// remembered as such.
const LONGEST: Duration = Duration::from_secs(2);

/// Estimate of the time that commits take to reach replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagEstimate {
    lag: Duration,
    at: Timestamp,
}

impl LagEstimate {
    /// Records that a replica held, or lacked, a position of which it was known for `age` that the
    /// primary held it.
    pub fn record(&mut self, now: Timestamp, age: Duration, held: bool) {
        let lag = self.value(now);
        self.lag = match held {
            true => lag - lag.saturating_sub(age).mul_f64(LOWERED_BY),
            false => lag.max(age).min(LONGEST),
        };
        self.at = now;
    }

    /// The time that commits are expected to take.
    pub fn value(&self, now: Timestamp) -> Duration {
        let passed = now.saturating_since(self.at).as_secs_f64();
        let halvings = passed / HALF_LIFE.as_secs_f64();
        self.lag.mul_f64(0.5_f64.powf(halvings))
    }
}
