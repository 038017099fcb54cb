//! Counts the connections that each tenant holds, and decides whether a tenant may hold another one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time after its last demand for which a tenant without connections still counts as a contender.
const CONTENDER_MEMORY: Duration = Duration::from_secs(10);

/// The connections of one contender.
#[derive(Debug)]
struct Holding {
    weight: u32,
    /// Number of connections that the tenant holds.
    held: u32,
    /// When the tenant last needed a connection.
    last_demand: Timestamp,
}

/// The connections of all contenders: the tenants that hold connections or have recently needed one.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    tenants: BTreeMap<TenantName, Holding>,
    total_weight: u64,
    total_held: u32,
}

/// The number of connections to share between the contenders, and the reserve among them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    pub(super) limit: u32,
    pub(super) reserve: u32,
}

impl Holdings {
    /// Records that the tenant has a statement that needs a connection.
    pub(super) fn record_demand(&mut self, now: Timestamp, tenant: &TenantName, weight: u32) {
        let weight = weight.max(1);
        let holding = self.tenants.entry(tenant.clone()).or_insert(Holding {
            weight: 0,
            held: 0,
            last_demand: now,
        });
        holding.last_demand = now;
        self.total_weight += u64::from(weight);
        self.total_weight -= u64::from(holding.weight);
        holding.weight = weight;
    }

    /// Whether the tenant may hold another connection: up to its share by weight among the contenders, and
    /// beyond that while more connections than the reserve are left. Of the last half of the reserve, a tenant
    /// gets a connection only while it holds fewer than are left.
    pub(super) fn may_hold_another(&self, tenant: &TenantName, capacity: Capacity) -> bool {
        let left = capacity.limit.saturating_sub(self.total_held);
        let Some(holding) = self.tenants.get(tenant) else {
            return left > 0;
        };
        let kept_back = holding.held.min(capacity.reserve / 2);
        let within_share = holding.held < self.share(holding, capacity);
        (within_share && left > kept_back) || left > capacity.reserve
    }

    /// Records that the tenant holds one connection more.
    pub(super) fn acquire(&mut self, tenant: &TenantName) {
        if let Some(holding) = self.tenants.get_mut(tenant) {
            holding.held += 1;
            self.total_held += 1;
        }
    }

    /// Records that the tenant holds one connection less.
    pub(super) fn release(&mut self, tenant: &TenantName) {
        if let Some(holding) = self.tenants.get_mut(tenant) {
            holding.held -= 1;
            self.total_held -= 1;
        }
    }

    /// Removes the tenants that hold no connection and have needed none for [`CONTENDER_MEMORY`].
    pub(super) fn forget_inactive(&mut self, now: Timestamp) {
        let total_weight = &mut self.total_weight;
        self.tenants.retain(|_, holding| {
            let contends = holding.held > 0 || holding.last_demand + CONTENDER_MEMORY > now;
            if !contends {
                *total_weight -= u64::from(holding.weight);
            }
            contends
        });
    }

    /// Number of connections held, by tenant.
    pub(super) fn by_tenant(&self) -> BTreeMap<TenantName, u32> {
        let holdings = self.tenants.iter();
        holdings
            .map(|(tenant, holding)| (tenant.clone(), holding.held))
            .collect()
    }

    /// A tenant's share, by weight, of the connections without the reserve; at least 1. The reserve is left for
    /// tenants that have not needed a connection yet.
    fn share(&self, holding: &Holding, capacity: Capacity) -> u32 {
        let shared = u64::from(capacity.limit.saturating_sub(capacity.reserve));
        let share = shared * u64::from(holding.weight) / self.total_weight.max(1);
        u32::try_from(share).unwrap_or(capacity.limit).max(1)
    }
}
