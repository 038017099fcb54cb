//! A bound on the rate of an activity.

use std::time::Duration;

use crate::time::Timestamp;

/// Grants at most `burst` at once and one each `interval` in the long run.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    interval: Duration,
    burst: u32,
    /// The time at which the bucket would have become full, had nothing been taken since. Each
    /// token taken moves it on by one interval.
    full_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst: burst.max(1),
            full_at: Timestamp::ZERO,
        }
    }

    /// Changes the interval; what was taken stays taken.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Takes a token.
    ///
    /// # Errors
    /// With the time until the next token when there is none.
    pub fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        let full_at = self.full_at.max(now);
        let missing = full_at.saturating_since(now) + self.interval;
        let capacity = self.interval * self.burst;
        if missing > capacity {
            return Err(missing - capacity);
        }
        self.full_at = full_at + self.interval;
        Ok(())
    }
}
