//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Range of the random factor by which a delay is multiplied.
const JITTER: std::ops::RangeInclusive<f64> = 0.5..=1.0;

/// Delays that double with each failure, up to a bound. Each delay is chosen at random between half of its upper
/// bound and the bound, so that callers whose attempts failed at the same time don't all retry at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backoff {
    /// Upper bound of the delay after the first failure.
    pub first: Duration,
    /// Upper bound of the delay after any number of failures.
    pub longest: Duration,
}

impl Backoff {
    /// A random delay after `failures` failures in a row; zero before the first failure.
    pub fn delay(&self, failures: u32, random: &mut impl Rng) -> Duration {
        self.longest_delay(failures)
            .mul_f64(random.random_range(JITTER))
    }

    /// The upper bound of the delay after `failures` failures in a row.
    pub fn longest_delay(&self, failures: u32) -> Duration {
        let Some(doublings) = failures.checked_sub(1) else {
            return Duration::ZERO;
        };
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        self.first.saturating_mul(factor).min(self.longest)
    }
}
