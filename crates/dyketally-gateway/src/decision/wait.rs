//! How long statements wait for a primary that can't be used.
//!
//! While a primary is being replaced it is best to wait: that takes a second or so. One that can't be
//! used for longer may well be used by other nodes, which callers reach when they come back; so from
//! then on a statement is refused as soon as its attempt has failed.

use std::time::Duration;

use crate::decision::retry::RETRY_PAUSE;

/// How long a primary is waited for, from the first attempt that found none. Replacing one takes 0.4 to
/// 0.8 s as a rule, measured from the first suspicion to the lead (decision 0046), and up to 1.3 s
/// (0049). The margin above that isn't measured.
pub const REPLACED_WITHIN: Duration = Duration::from_millis(1_500);
/// Failed attempts that lie further apart belong to two losses, and each primary is waited for as long.
/// Not measured.
pub const ONE_LOSS: Duration = Duration::from_secs(1);
/// How long a statement waits for a primary that has been missing for longer than a replacement takes:
/// one attempt, a pause, and another one. Not measured.
pub const SHORT_WAIT: Duration = Duration::from_millis(50);

const _: () = assert!(RETRY_PAUSE.as_millis() * 2 <= SHORT_WAIT.as_millis());

/// True while a failed attempt belongs to the same loss as the last one, `since_last` before it.
pub fn is_same_loss(since_last: Duration) -> bool {
    since_last < ONE_LOSS
}

/// How long a statement that comes now waits for a primary that attempts have missed for `missing_for`;
/// zero before an attempt has failed.
pub fn for_primary(missing_for: Duration) -> Duration {
    REPLACED_WITHIN.saturating_sub(missing_for).max(SHORT_WAIT)
}

/// True when statements that need the primary are refused after one failed attempt.
pub fn is_unavailable(missing_for: Duration) -> bool {
    missing_for >= REPLACED_WITHIN
}
