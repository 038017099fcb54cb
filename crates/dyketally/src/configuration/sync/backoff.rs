//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Failures in a row after which the wait no longer doubles.
const MOST_DOUBLINGS: u32 = 16;

/// The wait after `failures` failures in a row. Its bound is `base`, doubled with each failure, up to
/// `longest`; the wait is a random time between half of the bound and the bound.
pub(super) fn wait(
    base: Duration,
    longest: Duration,
    failures: u32,
    random: &mut impl Rng,
) -> Duration {
    let doubled = base * 2_u32.pow(failures.min(MOST_DOUBLINGS));
    let bound = doubled.min(longest);
    bound.mul_f64(random.random_range(0.5..1.0))
}
