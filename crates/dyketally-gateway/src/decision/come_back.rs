//! How long a refused caller should wait before it retries (retry-after).

use std::ops::RangeInclusive;
use std::time::Duration;

use dyketally::statement::FailureKind;

/// Retry-after of most refusals, in milliseconds: queues are short, and another node might be able to serve
/// the statement.
const RETRY_AFTER_MS: u64 = 250;
/// Retry-after when no database is allowed to serve the statement, in milliseconds. The primary might be
/// moving to a database that is allowed to serve it, which takes 0.4 to 1.3 s
/// (docs/decisions/0046-fences-before-a-succession.md, docs/decisions/0049-refusals-that-are-true.md).
const NOT_SERVED_RETRY_AFTER_MS: u64 = 1_000;
/// Range of the retry-after while a database is cold, that is, has just started and accepts only a limited
/// rate of statements; in milliseconds. A random value for each caller spreads callers that are refused
/// together, so that they don't overload the database in the same second.
const COLD_RETRY_AFTER_MS: RangeInclusive<u64> = 300..=2_000;

/// Retry-after of a statement that was refused with `refusal` and has not run. `sample` returns a random
/// number in the range that it is given.
pub fn after_refusal(
    refusal: FailureKind,
    sample: impl FnOnce(RangeInclusive<u64>) -> u64,
) -> Duration {
    let retry_after_ms = match refusal {
        FailureKind::NotServedHere => NOT_SERVED_RETRY_AFTER_MS,
        FailureKind::DatabaseCold => sample(COLD_RETRY_AFTER_MS),
        _ => RETRY_AFTER_MS,
    };
    Duration::from_millis(retry_after_ms)
}

/// Retry-after of a transaction that was rolled back, and of an operation that was refused because its API
/// key may have been revoked.
pub fn after_rollback() -> Duration {
    Duration::from_millis(RETRY_AFTER_MS)
}
