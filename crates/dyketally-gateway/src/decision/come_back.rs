//! When a refused caller should come back.

use std::ops::RangeInclusive;
use std::time::Duration;

use dyketally::statement::FailureKind;

/// After most refusals, in milliseconds: queues are short, and another node may serve the statement. Not
/// measured.
const COME_BACK_MS: u64 = 250;
/// Where no database may serve the statement, in milliseconds: a primary may be on its way to one that
/// may, which takes 0.4 to 1.3 s (decisions 0046 and 0049).
const NOT_SERVED_COME_BACK_MS: u64 = 1_000;
/// Where the database has just started, in milliseconds, drawn at random: callers who are refused
/// together come back spread over the span, so that no second is overfull. Not measured.
const COLD_COME_BACK_MS: RangeInclusive<u64> = 300..=2_000;

/// When a caller should come back whose statement was refused for `refusal` and has not run. `draw`
/// draws a number of the range at random.
pub fn after_refusal(
    refusal: FailureKind,
    draw: impl FnOnce(RangeInclusive<u64>) -> u64,
) -> Duration {
    let come_back_ms = match refusal {
        FailureKind::NotServedHere => NOT_SERVED_COME_BACK_MS,
        FailureKind::DatabaseCold => draw(COLD_COME_BACK_MS),
        _ => COME_BACK_MS,
    };
    Duration::from_millis(come_back_ms)
}

/// When a caller should begin a transaction again that was rolled back, or ask again that was refused
/// since its key may have been taken away.
pub fn after_rollback() -> Duration {
    Duration::from_millis(COME_BACK_MS)
}
