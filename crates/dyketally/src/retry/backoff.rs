//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Least and greatest factor of the jitter.
const JITTER: std::ops::RangeInclusive<f64> = 0.5..=1.0;

/// Delays that double with each failure, up to a bound, each drawn from the upper half of its
/// range so that callers who failed together don't come back together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backoff {
    /// Longest delay after the first failure.
    pub first: Duration,
    /// Longest delay after any number of failures.
    pub longest: Duration,
}

impl Backoff {
    /// The delay after `failures` failures in a row; none before the first.
    pub fn delay(&self, failures: u32, random: &mut impl Rng) -> Duration {
        self.longest_delay(failures)
            .mul_f64(random.random_range(JITTER))
    }

    /// The longest delay after `failures` failures in a row.
    pub fn longest_delay(&self, failures: u32) -> Duration {
        let Some(doublings) = failures.checked_sub(1) else {
            return Duration::ZERO;
        };
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        self.first.saturating_mul(factor).min(self.longest)
    }
}
