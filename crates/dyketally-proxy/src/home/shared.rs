//! What the tasks of one home share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dyketally::identifiers::DatabaseName;
use dyketally::policy::{DatabasePolicy, PolicySet};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::backend::BackendLogin;
use super::connections::{ConnectionPool, PoolCounts, PoolSettings};
use super::counters::HomeCounters;
use super::sessions::{Arrival, Sessions};

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
}

impl Default for HomeOptions {
    fn default() -> Self {
        Self {
            login: BackendLogin {
                user: "dyketally".to_owned(),
                database: "dyketally".to_owned(),
            },
            idle_transaction_limit: Duration::from_secs(30),
        }
    }
}

/// A home as `/status` shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeStatus {
    /// The database.
    pub database: DatabaseName,
    /// Its connections.
    pub connections: PoolCounts,
    /// Connections with an open transaction that waits for its session.
    pub idle_transactions: usize,
    /// Requests in flight.
    pub in_flight: usize,
    /// Whether the home refuses new work.
    pub draining: bool,
}

/// The state of one home.
#[derive(Debug)]
pub(super) struct HomeShared {
    pub database: DatabaseName,
    pub options: HomeOptions,
    pub policies: watch::Receiver<Arc<PolicySet>>,
    pub pool: Arc<ConnectionPool>,
    pub counters: Arc<HomeCounters>,
    pub tasks: TaskTracker,
    pub draining: AtomicBool,
    sessions: Mutex<Sessions>,
    arrivals: AtomicU64,
    routes: AddressRoutes,
}

/// The configuration of a home's own database.
#[derive(Clone, Debug)]
pub(super) struct HomePolicy {
    pub database: DatabasePolicy,
}

impl HomeShared {
    pub fn new(
        database: DatabaseName,
        policies: watch::Receiver<Arc<PolicySet>>,
        routes: AddressRoutes,
        options: HomeOptions,
    ) -> Self {
        let counters = Arc::new(HomeCounters::default());
        let policy = home_policy(&policies.borrow(), &database);
        let settings = pool_settings(policy.as_ref(), &routes, &options);
        Self {
            database,
            options,
            policies,
            pool: Arc::new(ConnectionPool::new(settings, Arc::clone(&counters))),
            counters,
            tasks: TaskTracker::new(),
            draining: AtomicBool::new(false),
            sessions: Mutex::new(Sessions::default()),
            arrivals: AtomicU64::new(0),
            routes,
        }
    }

    pub fn policy(&self) -> Option<HomePolicy> {
        home_policy(&self.policies.borrow(), &self.database)
    }

    pub fn apply_policy(&self) {
        let policy = self.policy();
        let settings = pool_settings(policy.as_ref(), &self.routes, &self.options);
        self.pool.update(settings);
    }

    pub fn next_arrival(&self) -> Arrival {
        Arrival(self.arrivals.fetch_add(1, Ordering::Relaxed))
    }

    pub fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no request is in flight and no transaction is open.
    pub async fn wait_until_empty(&self) {
        while !self.tasks.is_empty() || self.sessions().pins() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub fn status(&self) -> HomeStatus {
        HomeStatus {
            database: self.database.clone(),
            connections: self.pool.counts(),
            idle_transactions: self.sessions().pins(),
            in_flight: self.tasks.len(),
            draining: self.is_draining(),
        }
    }
}

fn home_policy(policies: &PolicySet, database: &DatabaseName) -> Option<HomePolicy> {
    let (_, database) = policies.database(database)?;
    Some(HomePolicy {
        database: database.clone(),
    })
}

/// Settings of the pool; without a policy no connection may be opened.
fn pool_settings(
    policy: Option<&HomePolicy>,
    routes: &AddressRoutes,
    options: &HomeOptions,
) -> PoolSettings {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = policy.map_or(unspecified, |policy| policy.database.address);
    PoolSettings {
        address: routes.resolve(address),
        login: options.login.clone(),
        limit: policy.map_or(0, |policy| policy.database.connection_limit),
    }
}
