//! A separate retrier, and so a separate retry budget, for each tenant.

use std::collections::BTreeMap;

use super::retrier::{Retrier, RetryCounters};
use crate::identifiers::TenantName;

/// The retriers of one node's tenants. A tenant whose statements all fail uses up its own retry budget, not those
/// of other tenants.
#[derive(Clone, Debug)]
pub struct TenantRetriers {
    /// A retrier with a full budget and zero counters, which is copied for each new tenant.
    initial: Retrier,
    tenants: BTreeMap<TenantName, Retrier>,
}

impl TenantRetriers {
    /// Creates retriers without tenants. Each tenant gets a copy of `initial`, which must not have been used.
    pub fn new(initial: Retrier) -> Self {
        TenantRetriers {
            initial,
            tenants: BTreeMap::new(),
        }
    }

    /// The tenant's retrier. A new tenant gets one with a full budget.
    pub fn tenant(&mut self, tenant: &TenantName) -> &mut Retrier {
        self.tenants
            .entry(tenant.clone())
            .or_insert_with(|| self.initial.clone())
    }

    /// Removes the retriers of the tenants for which `keep` returns false.
    pub fn retain_tenants(&mut self, keep: impl Fn(&TenantName) -> bool) {
        self.tenants.retain(|tenant, _| keep(tenant));
    }

    /// Counts of the decisions so far, by tenant.
    pub fn counters(&self) -> BTreeMap<TenantName, RetryCounters> {
        let tenants = self.tenants.iter();
        tenants
            .map(|(tenant, retrier)| (tenant.clone(), retrier.counters()))
            .collect()
    }
}
