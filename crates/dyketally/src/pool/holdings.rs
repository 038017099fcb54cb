//! Connections held by each tenant, and whether a tenant may hold another.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// A tenant that holds nothing counts as a contender for this long after it asked.
const CONTENDER_MEMORY: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Holding {
    weight: u32,
    held: u32,
    asked: Timestamp,
}

/// Connections held by each tenant that contends for them.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    tenants: BTreeMap<TenantName, Holding>,
    total_weight: u64,
    total_held: u32,
}

/// The connections that are there to be shared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Supply {
    pub(super) limit: u32,
    pub(super) reserve: u32,
}

impl Holdings {
    /// The tenant has work that needs a connection.
    pub(super) fn ask(&mut self, now: Timestamp, tenant: &TenantName, weight: u32) {
        let weight = weight.max(1);
        let holding = self.tenants.entry(tenant.clone()).or_insert(Holding {
            weight: 0,
            held: 0,
            asked: now,
        });
        holding.asked = now;
        self.total_weight += u64::from(weight);
        self.total_weight -= u64::from(holding.weight);
        holding.weight = weight;
    }

    /// Whether the tenant may hold another connection: up to its share by weight among the
    /// contenders, and beyond it while more than the reserve is left for the others. The last
    /// half of the reserve is for tenants that hold fewer than are left.
    pub(super) fn may_hold_another(&self, tenant: &TenantName, supply: Supply) -> bool {
        let left = supply.limit.saturating_sub(self.total_held);
        let Some(holding) = self.tenants.get(tenant) else {
            return left > 0;
        };
        let kept = holding.held.min(supply.reserve / 2);
        let within_share = holding.held < self.share(holding, supply);
        (within_share && left > kept) || left > supply.reserve
    }

    /// The tenant holds one connection more.
    pub(super) fn take(&mut self, tenant: &TenantName) {
        if let Some(holding) = self.tenants.get_mut(tenant) {
            holding.held += 1;
            self.total_held += 1;
        }
    }

    /// The tenant holds one connection less.
    pub(super) fn give_back(&mut self, tenant: &TenantName) {
        if let Some(holding) = self.tenants.get_mut(tenant) {
            holding.held -= 1;
            self.total_held -= 1;
        }
    }

    /// Forgets tenants that hold nothing and have not asked for long.
    pub(super) fn forget_idle(&mut self, now: Timestamp) {
        let total_weight = &mut self.total_weight;
        self.tenants.retain(|_, holding| {
            let contends = holding.held > 0 || holding.asked + CONTENDER_MEMORY > now;
            if !contends {
                *total_weight -= u64::from(holding.weight);
            }
            contends
        });
    }

    pub(super) fn by_tenant(&self) -> BTreeMap<TenantName, u32> {
        let holdings = self.tenants.iter();
        holdings
            .map(|(tenant, holding)| (tenant.clone(), holding.held))
            .collect()
    }

    /// A tenant's part by weight of all but the reserve, which is left for tenants that have yet
    /// to ask; at least one.
    fn share(&self, holding: &Holding, supply: Supply) -> u32 {
        let shared = u64::from(supply.limit.saturating_sub(supply.reserve));
        let share = shared * u64::from(holding.weight) / self.total_weight.max(1);
        u32::try_from(share).unwrap_or(supply.limit).max(1)
    }
}
