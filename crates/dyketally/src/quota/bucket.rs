//! A token bucket with integer arithmetic, whose level may fall below zero.

use std::time::Duration;

use crate::tenant::Quota;
use crate::time::Timestamp;

/// One token in the unit of levels, millionths of a token: a rate of one operation per second adds one
/// unit each microsecond.
const TOKEN: i64 = 1_000_000;

/// Tokens of one tenant. A level below zero is debt: tokens that were promised for later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Bucket {
    level: i64,
    refilled_at: Timestamp,
}

impl Bucket {
    /// Creates a bucket that holds `tokens`.
    pub(super) fn with(tokens: u32, now: Timestamp) -> Self {
        Self {
            level: i64::from(tokens) * TOKEN,
            refilled_at: now,
        }
    }

    /// Adds the tokens accrued since the last call at `share` of the rate.
    pub(super) fn refill(&mut self, now: Timestamp, quota: Quota, share: f64) {
        let elapsed = now.saturating_since(self.refilled_at).mul_f64(share);
        let added = quota.rate.millionths_in(elapsed);
        let full = i64::from(quota.burst.max(1)) * TOKEN;
        self.level = self.level.saturating_add(added).min(full);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Lowers the level to `tokens` if it is higher.
    pub(super) fn cap(&mut self, tokens: u32) {
        self.level = self.level.min(i64::from(tokens) * TOKEN);
    }

    /// Takes up to `wanted` of the available tokens; gives the number taken.
    pub(super) fn take(&mut self, wanted: u32) -> u32 {
        let whole = u32::try_from(self.level / TOKEN).unwrap_or(0);
        let taken = whole.min(wanted);
        self.level -= i64::from(taken) * TOKEN;
        taken
    }

    /// Takes one token in advance: its operation has to wait until the token has accrued.
    pub(super) fn promise(&mut self) {
        self.level -= TOKEN;
    }

    /// Time until a token is available, at the full rate.
    pub(super) fn wait_for_one(&self, quota: Quota) -> Duration {
        let missing = u64::try_from(TOKEN - self.level).unwrap_or(0);
        quota.rate.time_for(missing)
    }

    /// True while less than half of the burst is available.
    pub(super) fn is_low(&self, quota: Quota) -> bool {
        self.level * 2 < i64::from(quota.burst) * TOKEN
    }
}
