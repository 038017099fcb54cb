//! Token bucket that fresh work fills and retries empty.

/// Tokens are counted in thousandths, so that a share of the fresh work needs no fractions.
const UNITS_PER_RETRY: u64 = 1_000;
const UNITS_PER_PERCENT: u64 = UNITS_PER_RETRY / 100;

/// Allows retries in proportion to fresh work. Starts full.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    units: u64,
    capacity: u64,
    units_per_fresh: u64,
}

impl RetryBudget {
    /// Each fresh statement earns `percent` hundredths of a retry; at most `burst` retries are
    /// saved up.
    pub fn new(percent: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * UNITS_PER_RETRY;
        RetryBudget {
            units: capacity,
            capacity,
            units_per_fresh: u64::from(percent) * UNITS_PER_PERCENT,
        }
    }

    /// A fresh statement arrived.
    pub fn earn(&mut self) {
        let earned = self.units.saturating_add(self.units_per_fresh);
        self.units = earned.min(self.capacity);
    }

    /// Takes one retry out. False when there is none left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = left;
        true
    }
}
