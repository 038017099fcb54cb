//! Tenants: the parties that callers act for, the keys that authenticate them, and their quotas.

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
    /// The tenant's name, which is also sent to databases.
    pub name: TenantName,
    /// Rank when capacity is scarce; 0 is served first.
    pub priority: u32,
    /// Limit on the tenant's operations; `None` if they are unlimited.
    pub quota: Option<Quota>,
    /// Regions that may serve the tenant.
    pub regions: ServingRegions,
}

impl Tenant {
    /// The tenant's weight relative to other tenants: its operations per second, or 1 without a quota.
    pub fn weight(&self) -> f64 {
        self.quota.map_or(1.0, |quota| f64::from(quota.rate.0))
    }
}

/// Limit on a tenant's operations, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The sustained rate.
    pub rate: OperationRate,
    /// Operations that the tenant may request in a burst.
    pub burst: u32,
}

impl Quota {
    /// The interval between operations when the quota is split into `parts` equal parts. It is an
    /// interval because rates are rounded up to whole numbers, and a part of a rate needn't be whole.
    pub fn interval_of_part(self, parts: u32) -> Duration {
        self.rate.interval().saturating_mul(parts)
    }
}

/// Operations per second, as a whole number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationRate(u32);

impl OperationRate {
    /// A rate of `per_second` operations per second.
    pub const fn per_second(per_second: u32) -> Self {
        Self(per_second)
    }

    /// Number of operations within `time`, in millionths of an operation.
    pub fn millionths_in(self, time: Duration) -> i64 {
        let millionths = u128::from(self.0) * time.as_micros();
        i64::try_from(millionths).unwrap_or(i64::MAX)
    }

    /// Time in which the rate amounts to `millionths` of an operation; a rate of 0 counts as 1.
    pub fn time_for(self, millionths: u64) -> Duration {
        Duration::from_micros(millionths.div_ceil(u64::from(self.0.max(1))))
    }

    /// Time between two operations at this rate; a rate of 0 counts as 1.
    pub fn interval(self) -> Duration {
        self.time_for(1_000_000)
    }
}

impl fmt::Display for OperationRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
