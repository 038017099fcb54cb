//! Estimate of how far replicas usually lag behind their primary, from the log positions that they hold
//! when they are queried.

use std::time::Duration;

use crate::time::Timestamp;

/// Time in which the estimate halves without new observations, so that replicas that have caught up are
/// queried again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Share of the difference by which the estimate falls when a replica turns out to lag less.
const DECREASE_SHARE: f64 = 0.25;
/// Upper limit of the estimate: a replica that lags further is faulty, and is recorded as such.
const MAX_LAG: Duration = Duration::from_secs(2);

/// Estimate of the time that commits take to reach the replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagEstimate {
    lag: Duration,
    recorded_at: Timestamp,
}

impl LagEstimate {
    /// Records whether a replica held a log position (`held`) that the primary had been known to hold for
    /// `age`.
    pub fn record(&mut self, now: Timestamp, age: Duration, held: bool) {
        let lag = self.value(now);
        self.lag = match held {
            true => lag - lag.saturating_sub(age).mul_f64(DECREASE_SHARE),
            false => lag.max(age).min(MAX_LAG),
        };
        self.recorded_at = now;
    }

    /// The time that a commit is expected to take to reach the replicas.
    pub fn value(&self, now: Timestamp) -> Duration {
        let elapsed = now.saturating_since(self.recorded_at).as_secs_f64();
        let halvings = elapsed / HALF_LIFE.as_secs_f64();
        self.lag.mul_f64(0.5_f64.powf(halvings))
    }
}
