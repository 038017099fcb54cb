//! What the tasks of one home share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use dyketally::admission::QueueStatus;
use dyketally::group::{MemberStatus, Term};
use dyketally::identifiers::{DatabaseName, TenantName};
use dyketally::policy::{DatabasePolicy, GroupPolicy, PolicySet, TenantPolicy};
use dyketally::pool::PoolStatus;
use dyketally::time::Timestamp;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admission::DispatchSettings;
use super::backend::BackendLogin;
use super::counters::HomeCounters;
use super::dispatch::Dispatcher;
use super::monitor::GroupMonitor;
use super::prober::ProbeTarget;
use super::sessions::{Arrival, Sessions};
use crate::clock::now;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Addresses to use in place of those in the configuration, for example behind relays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressRoutes(BTreeMap<SocketAddr, SocketAddr>);

impl AddressRoutes {
    /// The address to connect to for a configured one.
    pub fn resolve(&self, configured: SocketAddr) -> SocketAddr {
        self.0.get(&configured).copied().unwrap_or(configured)
    }
}

impl FromIterator<(SocketAddr, SocketAddr)> for AddressRoutes {
    fn from_iter<I: IntoIterator<Item = (SocketAddr, SocketAddr)>>(routes: I) -> Self {
        Self(routes.into_iter().collect())
    }
}

/// What a home is told besides the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeOptions {
    /// How to log in to databases.
    pub login: BackendLogin,
    /// How long a transaction may be idle between two batches before it is rolled back.
    pub idle_transaction_limit: Duration,
    /// A home without requests for this long gives up its connections until the next one, as
    /// another node may have become the home of its database.
    pub standby_after: Duration,
}

impl Default for HomeOptions {
    fn default() -> Self {
        Self {
            login: BackendLogin {
                user: "dyketally".to_owned(),
                database: "dyketally".to_owned(),
            },
            idle_transaction_limit: Duration::from_secs(30),
            standby_after: Duration::from_secs(30),
        }
    }
}

/// A home as `/status` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HomeStatus {
    /// The database.
    pub database: DatabaseName,
    /// The group's primary as this home knows it.
    pub primary: Option<DatabaseName>,
    /// The highest term that any member of the group reported.
    pub highest_term: Term,
    /// The database's own status, when it was last asked.
    pub own: Option<MemberStatus>,
    /// Its queue and slots.
    pub queue: QueueStatus,
    /// Its connections.
    pub connections: PoolStatus,
    /// Connections with an open transaction that waits for its session.
    pub idle_transactions: usize,
    /// Writes and reads that wait to be confirmed.
    pub unconfirmed: usize,
    /// Requests in flight.
    pub in_flight: usize,
    /// Whether the home has given up its connections until the next request.
    pub standby: bool,
    /// Whether the home refuses new work, as it or its database is leaving.
    pub leaving: bool,
}

/// The state of one home.
#[derive(Debug)]
pub(super) struct HomeShared {
    pub database: DatabaseName,
    pub options: HomeOptions,
    pub policies: watch::Receiver<Arc<PolicySet>>,
    pub dispatcher: Arc<Dispatcher>,
    pub monitor: Arc<GroupMonitor>,
    pub counters: Arc<HomeCounters>,
    pub tasks: TaskTracker,
    pub draining: AtomicBool,
    pub leaving: AtomicBool,
    policy: ArcSwapOption<HomePolicy>,
    activity: Mutex<Activity>,
    sessions: Mutex<Sessions>,
    arrivals: AtomicU64,
    routes: AddressRoutes,
}

/// When the home was last used, and whether it keeps connections. Changed under one lock, so that
/// no request finds a home that is about to give its connections up.
#[derive(Debug)]
struct Activity {
    last_request: Timestamp,
    standby: bool,
}

/// The configuration in force, as it concerns one home.
#[derive(Clone, Debug)]
pub(super) struct HomePolicy {
    pub group: GroupPolicy,
    pub database: DatabasePolicy,
    policies: Arc<PolicySet>,
}

impl HomePolicy {
    fn of(policies: Arc<PolicySet>, database: &DatabaseName) -> Option<Self> {
        let (group, database) = policies.database(database)?;
        Some(Self {
            group: group.clone(),
            database: database.clone(),
            policies,
        })
    }

    /// The tenant, if it may use the group.
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantPolicy> {
        let tenant = self.policies.tenants.get(name)?;
        let mut groups = tenant.databases.values();
        groups
            .any(|group| group == &self.group.name)
            .then_some(tenant)
    }
}

impl HomeShared {
    pub fn new(
        database: DatabaseName,
        policies: watch::Receiver<Arc<PolicySet>>,
        routes: AddressRoutes,
        options: HomeOptions,
        stop: CancellationToken,
    ) -> Self {
        let settings = dispatch_settings(None, &routes, &options);
        let shared = Self {
            options,
            policies,
            dispatcher: Arc::new(Dispatcher::new(settings)),
            monitor: Arc::new(GroupMonitor::new(database.clone(), stop)),
            counters: Arc::new(HomeCounters::default()),
            tasks: TaskTracker::new(),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            policy: ArcSwapOption::empty(),
            activity: Mutex::new(Activity {
                last_request: now(),
                standby: false,
            }),
            sessions: Mutex::new(Sessions::default()),
            arrivals: AtomicU64::new(0),
            routes,
            database,
        };
        shared.apply_policies();
        shared
    }

    /// The configuration in force; `None` when it doesn't name the database.
    pub fn policy(&self) -> Option<Arc<HomePolicy>> {
        self.policy.load_full()
    }

    /// Applies the newest configuration.
    pub fn apply_policies(&self) {
        let activity = self.activity();
        let policies = Arc::clone(&self.policies.borrow());
        let policy = HomePolicy::of(policies, &self.database).map(Arc::new);
        self.policy.store(policy);
        if !activity.standby {
            self.connect();
        }
    }

    /// A request arrived: the home keeps connections from now on.
    pub fn note_request(&self) {
        let mut activity = self.activity();
        activity.last_request = now();
        if std::mem::replace(&mut activity.standby, false) {
            self.connect();
        }
    }

    /// Gives up all connections if the home has been unused for long.
    pub fn rest_if_unused(&self) {
        let mut activity = self.activity();
        let unused_for = now().saturating_since(activity.last_request);
        let is_empty = self.tasks.is_empty() && self.sessions().pins() == 0;
        if activity.standby || !is_empty || unused_for < self.options.standby_after {
            return;
        }
        activity.standby = true;
        let settings = dispatch_settings(None, &self.routes, &self.options);
        self.dispatcher.configure(settings);
        self.monitor.set_members(Vec::new());
    }

    /// Keeps the connections that the configuration grants.
    fn connect(&self) {
        let policy = self.policy();
        let policy = policy.as_deref();
        let settings = dispatch_settings(policy, &self.routes, &self.options);
        self.dispatcher.configure(settings);
        // A database that isn't configured has no members to ask.
        let targets = policy.map(|policy| self.probe_targets(policy));
        self.monitor.set_members(targets.unwrap_or_default());
    }

    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The members of the group and how to ask each for its status.
    pub fn probe_targets(&self, policy: &HomePolicy) -> Vec<ProbeTarget> {
        let members = policy.group.members.iter();
        members
            .map(|member| ProbeTarget {
                member: member.name.clone(),
                address: self.routes.resolve(member.address),
                login: self.options.login.clone(),
                status_statement: policy.group.status_statement.clone(),
            })
            .collect()
    }

    /// Where `member` is and how to ask it.
    pub fn probe_target(&self, policy: &HomePolicy, member: &DatabaseName) -> Option<ProbeTarget> {
        let mut targets = self.probe_targets(policy).into_iter();
        targets.find(|target| &target.member == member)
    }

    pub fn next_arrival(&self) -> Arrival {
        Arrival(self.arrivals.fetch_add(1, Ordering::Relaxed))
    }

    pub fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Waits until no request is in flight and no transaction is open.
    pub async fn wait_until_empty(&self) {
        while !self.tasks.is_empty() || self.sessions().pins() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    pub fn status(&self) -> HomeStatus {
        let (primary, highest_term, own) = self.monitor.view(|view| {
            let primary = view.primary().map(|(primary, _)| primary);
            let own = view.status(&self.database).map(|seen| seen.status);
            (primary, view.highest_term(), own)
        });
        HomeStatus {
            database: self.database.clone(),
            primary,
            highest_term,
            own,
            queue: self.dispatcher.queue_status(),
            connections: self.dispatcher.pool_status(),
            idle_transactions: self.sessions().pins(),
            unconfirmed: self.monitor.unconfirmed(),
            in_flight: self.tasks.len(),
            standby: self.activity().standby,
            leaving: self.is_draining() || self.is_leaving(),
        }
    }
}

/// What the dispatcher may use; without a policy no connection may be opened.
fn dispatch_settings(
    policy: Option<&HomePolicy>,
    routes: &AddressRoutes,
    options: &HomeOptions,
) -> DispatchSettings {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = policy.map_or(unspecified, |policy| policy.database.address);
    DispatchSettings {
        address: routes.resolve(address),
        login: options.login.clone(),
        connection_limit: policy.map_or(0, connections_for_statements),
        slots: policy.map_or(0, |policy| policy.database.slots),
    }
}

/// The home of each member holds a status connection to every member.
fn connections_for_statements(policy: &HomePolicy) -> u32 {
    let status_connections = u32::try_from(policy.group.members.len()).unwrap_or(u32::MAX);
    let limit = policy.database.connection_limit;
    limit.saturating_sub(status_connections).max(limit.min(1))
}
