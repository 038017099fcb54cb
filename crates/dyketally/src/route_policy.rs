//! Routes from the database that a caller names to the group that serves it, as of one revision.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::eligibility::{Demand, ServingRegions};
use crate::freshness::ReadConsistency;
use crate::identifiers::{GroupName, RegionName};
use crate::policy::Revision;
use crate::tenant::{ApiKey, OperationRate, Tenant, TenantDirectory};

/// How the statements of one named database are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The route's name, for logs.
    pub name: String,
    /// The group that serves it.
    pub group: GroupName,
    /// What its reads have to see.
    pub consistency: ReadConsistency,
    /// Longest time from a statement's arrival to its answer.
    pub statement_timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_objective: Duration,
    /// Rank under scarcity; 0 goes first.
    pub priority: u32,
    /// True when callers need no key.
    pub auth_exempt: bool,
    /// Regions that serve it.
    pub regions: ServingRegions,
}

impl RoutePolicy {
    /// Regions that serve `tenant` on this route: those that both allow.
    pub fn regions_for(&self, tenant: Option<&Tenant>) -> ServingRegions {
        match tenant {
            Some(tenant) => self.regions.and(&tenant.regions),
            None => self.regions.clone(),
        }
    }
}

/// No tenant has the caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no tenant has this key; use one that the configuration lists")]
pub struct UnknownKey;

/// What holds for all databases of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupLimits {
    /// Connections that one database grants to all proxies together.
    pub connection_limit: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub acknowledging_replicas: u32,
    /// How its databases start; `None` where they bear their full load at once.
    pub slow_start: Option<SlowStart>,
}

/// How databases of a group come to bear their full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// For how long a database is cold after its start.
    pub cold_for: Duration,
    /// Requests that a cold database bears.
    pub rate: OperationRate,
}

/// All routes and groups of one revision.
#[derive(Clone, Debug, Default)]
pub struct RouteSet {
    /// The revision; a node never goes back to a smaller one.
    pub revision: Revision,
    /// Routes by the database name that callers use.
    pub routes: BTreeMap<String, RoutePolicy>,
    /// Groups by name.
    pub groups: BTreeMap<GroupName, GroupLimits>,
    /// How long a transaction may rest between two statements; `None` for as long as it likes.
    pub transaction_idle: Option<Duration>,
    /// Tenants and their keys; `None` where callers need no key.
    pub tenants: Option<Arc<TenantDirectory>>,
}

impl RouteSet {
    /// True when callers need a key on `route`.
    pub fn needs_key(&self, route: &RoutePolicy) -> bool {
        self.tenants.is_some() && !route.auth_exempt
    }

    /// True when callers need a key on all routes.
    pub fn all_need_keys(&self) -> bool {
        !self.routes.is_empty() && self.routes.values().all(|route| self.needs_key(route))
    }

    /// The tenant that a caller with `key` acts for on `route`; `None` where callers need no key.
    ///
    /// # Errors
    /// No tenant has the key.
    pub fn identify(
        &self,
        route: &RoutePolicy,
        key: &ApiKey,
    ) -> Result<Option<Arc<Tenant>>, UnknownKey> {
        match &self.tenants {
            Some(tenants) if !route.auth_exempt => {
                let holder = tenants.holder(key).cloned();
                holder.map(Some).ok_or(UnknownKey)
            }
            _ => Ok(None),
        }
    }

    /// The regions that routes and tenants name.
    pub fn named_regions(&self) -> BTreeSet<RegionName> {
        let routes = self.routes.values();
        let routes = routes.flat_map(|route| route.regions.named());
        let tenants = self.tenants.iter().flat_map(|tenants| tenants.tenants());
        let tenants = tenants.flat_map(|tenant| tenant.regions.named());
        routes.chain(tenants).cloned().collect()
    }

    /// True when some route or tenant isn't served everywhere.
    pub fn binds_regions(&self) -> bool {
        let routes = self.routes.values();
        let mut routes = routes.map(|route| &route.regions);
        let tenants = self.tenants.iter().flat_map(|tenants| tenants.tenants());
        let mut tenants = tenants.map(|tenant| &tenant.regions);
        routes.any(|regions| !regions.is_anywhere())
            || tenants.any(|regions| !regions.is_anywhere())
    }

    /// What may ask for the primary of `group`, by the regions that serve it. Tenants weigh by their
    /// rates; bounded reads don't count, since replicas serve them.
    pub fn demands(&self, group: &GroupName) -> Vec<Demand> {
        let routes = self.routes.values().filter(|route| {
            &route.group == group
                && !matches!(route.consistency, ReadConsistency::BoundedStaleness { .. })
        });
        let by_route = routes.map(|route| match &self.tenants {
            Some(tenants) if !route.auth_exempt => {
                let demands = tenants.tenants().map(|tenant| Demand {
                    regions: route.regions_for(Some(tenant)),
                    weight: tenant.weight(),
                });
                demands.collect()
            }
            _ => vec![Demand {
                regions: route.regions.clone(),
                weight: 1.0,
            }],
        });
        by_route.flatten().collect()
    }

    /// The longest staleness bound of any route of `group`.
    pub fn longest_bound(&self, group: &GroupName) -> Duration {
        let routes = self.routes.values().filter(|route| &route.group == group);
        let bounds = routes.filter_map(|route| match route.consistency {
            ReadConsistency::Primary => None,
            ReadConsistency::BoundedStaleness { bound }
            | ReadConsistency::ReadOwnWrites { bound } => Some(bound),
        });
        bounds.max().unwrap_or_default()
    }
}
