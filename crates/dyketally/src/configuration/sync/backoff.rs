//! Waits between attempts that grow and are spread at random.

use std::time::Duration;

use rand::Rng;

/// Attempts after which the wait no longer doubles.
const MOST_DOUBLINGS: u32 = 16;

/// A wait after `failures` failures in a row, at least half of its longest.
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
