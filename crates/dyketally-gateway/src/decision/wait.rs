//! How long statements wait for a usable primary.
//!
//! Replacing a primary takes about a second, during which it is best to wait. A primary that has been
//! unusable from this node for longer may be usable from other nodes, which callers reach when they retry;
//! from then on a statement is refused as soon as an attempt has failed.

use std::time::Duration;

use crate::decision::retry::RETRY_PAUSE;

/// How long statements wait for a primary, counted from the first attempt that found none. A failover
/// usually takes 0.4 to 0.8 s from the first suspicion until the new primary leads (decision 0046), and up
/// to 1.3 s (decision 0049).
pub const PRIMARY_WAIT: Duration = Duration::from_millis(1_500);
/// Gap between failed attempts from which on they belong to different outages; the wait for the primary
/// starts anew with each outage.
pub const SAME_OUTAGE_GAP: Duration = Duration::from_secs(1);
/// How long a statement waits for a primary that has been missing for longer than a failover takes: enough
/// for an attempt, a pause and a second attempt.
pub const MIN_PRIMARY_WAIT: Duration = Duration::from_millis(50);

const _: () = assert!(RETRY_PAUSE.as_millis() * 2 <= MIN_PRIMARY_WAIT.as_millis());

/// True while an attempt that failed `since_last` after the previous one belongs to the same outage.
pub fn is_same_outage(since_last: Duration) -> bool {
    since_last < SAME_OUTAGE_GAP
}

/// How long a new statement waits for a primary that has been missing for `missing_for`, which is zero
/// before an attempt has failed.
pub fn primary_wait(missing_for: Duration) -> Duration {
    PRIMARY_WAIT
        .saturating_sub(missing_for)
        .max(MIN_PRIMARY_WAIT)
}

/// True when statements that need the primary are refused after a single failed attempt.
pub fn is_unavailable(missing_for: Duration) -> bool {
    missing_for >= PRIMARY_WAIT
}
