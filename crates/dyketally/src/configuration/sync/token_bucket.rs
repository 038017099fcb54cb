//! Token bucket: limits the rate of an activity and allows short bursts.

use std::time::Duration;

use crate::time::Timestamp;

/// Allows at most `burst` actions at once and, in the long run, one action per `interval`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    interval: Duration,
    burst: u32,
    /// When the bucket is full again if no more tokens are taken. Each token taken moves this time
    /// one interval later.
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

    /// Changes the interval between tokens; tokens already taken stay taken.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Takes a token.
    ///
    /// # Errors
    /// When there is no token; the error is the time until the next one.
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
