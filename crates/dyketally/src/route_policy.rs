//! Routes of one revision: each leads from the database name that callers use to the group that serves
//! it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::eligibility::{Demand, ServingRegions};
use crate::freshness::ReadConsistency;
use crate::identifiers::{GroupName, RegionName};
use crate::policy::Revision;
use crate::tenant::{ApiKey, OperationRate, Tenant, TenantDirectory};

/// How statements for one database name are routed and limited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The route's name, for logs.
    pub name: String,
    /// The group that serves the route.
    pub group: GroupName,
    /// Consistency that the route's reads require.
    pub consistency: ReadConsistency,
    /// Longest time from a statement's arrival to its answer.
    pub statement_timeout: Duration,
    /// Target time from a statement's arrival to its answer. Later answers have less value.
    pub latency_objective: Duration,
    /// Rank when capacity is scarce; 0 is served first.
    pub priority: u32,
    /// True when callers of this route need no key.
    pub auth_exempt: bool,
    /// Regions that may serve the route.
    pub regions: ServingRegions,
}

impl RoutePolicy {
    /// Regions that may serve `tenant` on this route: those that both the route and the tenant allow.
    pub fn regions_for(&self, tenant: Option<&Tenant>) -> ServingRegions {
        match tenant {
            Some(tenant) => self.regions.and(&tenant.regions),
            None => self.regions.clone(),
        }
    }
}

/// The caller's key belongs to no tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no tenant has this key; use one that the configuration lists")]
pub struct UnknownKey;

/// Limits that apply to each database of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupLimits {
    /// Most connections that all proxies together may open to one database.
    pub connection_limit: u32,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub acknowledging_replicas: u32,
    /// Load limit after a database's start; `None` if its databases can take their full load at once.
    pub slow_start: Option<SlowStart>,
}

/// Load limit of a group's databases after their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// Time after its start during which a database is cold.
    pub cold_for: Duration,
    /// Rate of requests that a cold database can take.
    pub rate: OperationRate,
}

/// All routes and groups of one revision.
#[derive(Clone, Debug, Default)]
pub struct RouteSet {
    /// The revision of the configuration; it never decreases on a node.
    pub revision: Revision,
    /// Routes by the database name that callers use.
    pub routes: BTreeMap<String, RoutePolicy>,
    /// Groups by name.
    pub groups: BTreeMap<GroupName, GroupLimits>,
    /// Longest time that a transaction may be idle between two statements; `None` if without limit.
    pub transaction_idle: Option<Duration>,
    /// Tenants and their keys; `None` if callers need no key on any route.
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

    /// The tenant that a caller with `key` acts for on `route`; `None` if callers of the route need no
    /// key.
    ///
    /// # Errors
    /// When the route needs a key and `key` belongs to no tenant.
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

    /// All regions that routes or tenants name.
    pub fn named_regions(&self) -> BTreeSet<RegionName> {
        let routes = self.routes.values();
        let routes = routes.flat_map(|route| route.regions.named());
        let tenants = self.tenants.iter().flat_map(|tenants| tenants.tenants());
        let tenants = tenants.flat_map(|tenant| tenant.regions.named());
        routes.chain(tenants).cloned().collect()
    }

    /// True when some route or tenant may not be served in all regions.
    pub fn binds_regions(&self) -> bool {
        let routes = self.routes.values();
        let mut routes = routes.map(|route| &route.regions);
        let tenants = self.tenants.iter().flat_map(|tenants| tenants.tenants());
        let mut tenants = tenants.map(|tenant| &tenant.regions);
        routes.any(|regions| !regions.is_anywhere())
            || tenants.any(|regions| !regions.is_anywhere())
    }

    /// The sources of demand for the primary of `group`, each with the regions that may serve it. Tenants
    /// are weighted by their rates. Routes with bounded staleness are left out, because replicas serve
    /// their reads.
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

    /// The longest staleness bound among the routes of `group`; zero if none has a bound.
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
