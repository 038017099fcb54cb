//! Tenants: who callers act for, the keys that prove it, and how many operations they may ask for.

mod api_key;
mod directory;
mod key_trust;

use std::fmt;
use std::time::Duration;

use crate::eligibility::ServingRegions;
use crate::identifiers::TenantName;

pub use api_key::ApiKey;
pub use directory::{TenantDirectory, TenantError, TenantPolicy};
pub use key_trust::{KeyPolicy, KeyTrust};

/// A tenant as of one revision of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, which databases are told.
    pub name: TenantName,
    /// Rank under scarcity; 0 goes first.
    pub priority: u32,
    /// How many operations it may ask for; `None` for as many as it likes.
    pub quota: Option<Quota>,
    /// Regions that serve it.
    pub regions: ServingRegions,
}

impl Tenant {
    /// How much it may ask for relative to others: operations a second, 1 where they aren't limited.
    pub fn weight(&self) -> f64 {
        self.quota.map_or(1.0, |quota| f64::from(quota.rate.0))
    }
}

/// Operations that a tenant may ask for, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The rate that it may keep up.
    pub rate: OperationRate,
    /// Operations that it may ask for at once after a pause.
    pub burst: u32,
}

impl Quota {
    /// One of `parts` equal parts of the quota, as an interval between operations: a rate is rounded up
    /// to a whole number, so a part of it can't be one.
    pub fn interval_of_part(self, parts: u32) -> Duration {
        self.rate.interval().saturating_mul(parts)
    }
}

/// Operations a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationRate(u32);

impl OperationRate {
    /// A rate of `per_second` operations a second.
    pub const fn per_second(per_second: u32) -> Self {
        Self(per_second)
    }

    /// Operations within `time`, in millionths.
    pub fn millionths_in(self, time: Duration) -> i64 {
        let millionths = u128::from(self.0) * time.as_micros();
        i64::try_from(millionths).unwrap_or(i64::MAX)
    }

    /// Time until so many millionths of an operation have come together; a rate of 0 counts as 1.
    pub fn time_for(self, millionths: u64) -> Duration {
        Duration::from_micros(millionths.div_ceil(u64::from(self.0.max(1))))
    }

    /// Time between two operations; a rate of 0 counts as 1.
    pub fn interval(self) -> Duration {
        self.time_for(1_000_000)
    }
}

impl fmt::Display for OperationRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
