//! How long statements wait for a usable primary.
//!
//! Replacing a primary takes about a second, during which it is best to wait. If a primary has been unusable
//! from this node for [`PRIMARY_WAIT`] or longer, other nodes may still be able to use it, and callers reach
//! them when they retry. Until the outage ends, a statement is therefore given up after its first failed
//! attempt unless another database can still be tried, and a write without a known primary waits only for
//! [`MIN_PRIMARY_WAIT`].

use std::time::Duration;

use crate::decision::retry::RETRY_PAUSE;

/// How long statements wait for a primary, counted from the first failed attempt of the outage. A failover
/// usually takes 0.4 to 0.8 s from the first suspicion until the new primary leads
/// (docs/decisions/0046-fences-before-a-succession.md), and up to 1.3 s
/// (docs/decisions/0049-refusals-that-are-true.md).
pub const PRIMARY_WAIT: Duration = Duration::from_millis(1_500);
/// Failed attempts less than this apart belong to the same outage. After a longer gap a new outage begins,
/// and with it the wait for the primary starts again at [`PRIMARY_WAIT`].
pub const SAME_OUTAGE_GAP: Duration = Duration::from_secs(1);
/// Minimum time that a write waits for a usable primary, even if the outage has lasted for [`PRIMARY_WAIT`]:
/// at least two retry pauses, so that a primary that becomes usable during them is still found.
pub const MIN_PRIMARY_WAIT: Duration = Duration::from_millis(50);

const _: () = assert!(RETRY_PAUSE.as_millis() * 2 <= MIN_PRIMARY_WAIT.as_millis());

/// True while an attempt that failed `since_last` after the previous one belongs to the same outage.
pub fn is_same_outage(since_last: Duration) -> bool {
    since_last < SAME_OUTAGE_GAP
}

/// How long a new write waits for a primary that has been missing for `missing_for`, which is zero before an
/// attempt has failed.
pub fn primary_wait(missing_for: Duration) -> Duration {
    PRIMARY_WAIT
        .saturating_sub(missing_for)
        .max(MIN_PRIMARY_WAIT)
}

/// True when a statement is given up after a single failed attempt if no other database can be tried: the
/// primary has been missing for `missing_for`, longer than a failover takes.
pub fn is_unavailable(missing_for: Duration) -> bool {
    missing_for >= PRIMARY_WAIT
}
