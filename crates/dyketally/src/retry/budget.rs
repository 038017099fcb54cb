//! The retry budget: a token bucket that fresh statements fill and retries drain.

/// Units per token, which allows one retry. Whole units represent the fraction of a token that a fresh statement
/// earns.
const UNITS_PER_RETRY: u64 = 1_000;
/// Units that a fresh statement earns for each percent that [`RetryBudget::new`] is given.
const UNITS_PER_PERCENT: u64 = UNITS_PER_RETRY / 100;

/// Allows retries in proportion to fresh statements. Starts full.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    units: u64,
    capacity: u64,
    units_per_fresh: u64,
}

impl RetryBudget {
    /// Creates a full budget. Each fresh statement earns `percent` hundredths of a retry; at most `burst` retries
    /// can be saved up.
    pub fn new(percent: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * UNITS_PER_RETRY;
        RetryBudget {
            units: capacity,
            capacity,
            units_per_fresh: u64::from(percent) * UNITS_PER_PERCENT,
        }
    }

    /// Adds what a fresh statement earns.
    pub fn earn(&mut self) {
        let earned = self.units.saturating_add(self.units_per_fresh);
        self.units = earned.min(self.capacity);
    }

    /// Spends one retry; false when none is left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = left;
        true
    }
}
