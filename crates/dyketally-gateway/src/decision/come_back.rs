//! When a refused caller should retry.

use std::ops::RangeInclusive;
use std::time::Duration;

use dyketally::statement::FailureKind;

/// Retry-after of most refusals, in milliseconds: queues are short, and another node may serve the
/// statement.
const RETRY_AFTER_MS: u64 = 250;
/// Retry-after when no database may serve the statement, in milliseconds: the primary may be moving to a
/// database that may, which takes 0.4 to 1.3 s (decisions 0046 and 0049).
const NOT_SERVED_RETRY_AFTER_MS: u64 = 1_000;
/// Range of the retry-after while a database is cold, in milliseconds. Random samples spread callers that
/// are refused together, so that they don't overload the database in the same second.
const COLD_RETRY_AFTER_MS: RangeInclusive<u64> = 300..=2_000;

/// Retry-after of a statement that was refused for `refusal` and has not run. `sample` returns a random
/// number of the range.
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
