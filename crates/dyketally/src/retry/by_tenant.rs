//! A retry budget for each tenant.

use std::collections::BTreeMap;

use super::retrier::{Retrier, RetryCounters};
use crate::identifiers::TenantName;

/// Retriers of the tenants that one node serves: a tenant whose statements all fail uses up its
/// own budget, not that of the others.
#[derive(Clone, Debug)]
pub struct TenantRetriers {
    unused: Retrier,
    tenants: BTreeMap<TenantName, Retrier>,
}

impl TenantRetriers {
    /// Each tenant gets a copy of `unused`, a retrier that has decided nothing yet.
    pub fn new(unused: Retrier) -> Self {
        TenantRetriers {
            unused,
            tenants: BTreeMap::new(),
        }
    }

    /// The tenant's retrier, with a full budget when the tenant is new.
    pub fn tenant(&mut self, tenant: &TenantName) -> &mut Retrier {
        self.tenants
            .entry(tenant.clone())
            .or_insert_with(|| self.unused.clone())
    }

    /// Forgets the tenants that `keep` doesn't name.
    pub fn retain_tenants(&mut self, keep: impl Fn(&TenantName) -> bool) {
        self.tenants.retain(|tenant, _| keep(tenant));
    }

    /// What was decided so far, by tenant.
    pub fn counters(&self) -> BTreeMap<TenantName, RetryCounters> {
        let tenants = self.tenants.iter();
        tenants
            .map(|(tenant, retrier)| (tenant.clone(), retrier.counters()))
            .collect()
    }
}
