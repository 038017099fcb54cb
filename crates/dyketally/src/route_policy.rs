//! Routes from the database that a caller names to the group that serves it, as of one revision.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::freshness::ReadConsistency;
use crate::identifiers::GroupName;
use crate::policy::Revision;
use crate::tenant::{ApiKey, Tenant, TenantDirectory};

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
