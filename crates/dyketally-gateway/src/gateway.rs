//! The state that all tasks of the process share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dyketally::directory::{Directory, DirectoryChange};
use dyketally::eligibility::Evacuations;
use dyketally::failover::Fences;
use dyketally::freshness::{LagEstimate, Observation, Observations};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::route_policy::RouteSet;
use dyketally::time::Timestamp;
use dyketally_store::key_value::StoreRevision;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::counters::Counters;
use crate::database::health::DatabaseState;
use crate::database::pool::Pool;
use crate::event::{Event, EventLog};
use crate::fleet::holders::Loads;
use crate::fleet::homes::Homes;
use crate::fleet::link::Links;
use crate::fleet::membership::Membership;
use crate::fleet::peer::Peers;
use crate::measures::Measures;
use crate::ports::{SharedCallerProtocol, SharedDatabaseProtocol};
use crate::quota::Quotas;
use crate::session::Sessions;
use crate::session::known_keys::KnownKeys;
use crate::settings::Settings;
use crate::statement::reach::Unled;
use crate::store::feed::Feed;
use crate::store::metered_store::StoreCalls;
use crate::succession::lead::{Touch, Vettings};
use crate::traffic::Traffic;

/// Observations are kept for at least this long.
const OBSERVED_AT_LEAST: Duration = Duration::from_secs(1);
/// Heartbeats within which a database that runs announces itself again.
const HEARTBEATS_GRACE: f64 = 1.4;
/// How long a database that is gone is remembered.
const GONE_REMEMBERED: Duration = Duration::from_secs(30);

/// Phases of a planned stop, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was asked for.
    Serving,
    /// The node is no longer ready, but callers that don't know yet are served as before.
    Leaving,
    /// No new sessions; each ends as soon as no operation is under way.
    ClosingSessions,
    /// Transactions that are still open are given up.
    EndingTransactions,
}

/// What is known of a group beyond its databases.
pub struct GroupState {
    /// Positions that its primary showed.
    pub observations: RefCell<Observations>,
    /// Told after each observation and each failed attempt to make one.
    pub observed: Notify,
    /// True while the group is searched for a primary.
    pub searching: Cell<bool>,
    /// When the running confirmation was sent, if one runs.
    pub confirming: Cell<Option<Timestamp>>,
    /// Whether it has a primary that this node can use.
    pub unled: Unled,
    /// What an isolated node learnt of the group's other databases.
    pub vettings: Vettings,
    /// When the log told last that no database may serve some statement.
    pub told_nowhere: Cell<Option<Instant>>,
}

/// The shared state.
pub struct Gateway {
    /// The process's settings.
    pub settings: Settings,
    /// The protocol of callers.
    pub caller_protocol: SharedCallerProtocol,
    /// The protocol of databases.
    pub database_protocol: SharedDatabaseProtocol,
    /// The log.
    pub events: EventLog,
    /// The databases.
    pub directory: RefCell<Directory>,
    /// Nodes and the duty of replacing primaries.
    pub membership: Membership,
    /// The socket that nodes talk over, once it is bound.
    pub peers: RefCell<Option<Rc<Peers>>>,
    /// What the process has done.
    pub counters: Counters,
    /// The same for its metrics, with times.
    pub measures: Rc<Measures>,
    /// Where the bytes go that it sends to other nodes.
    pub traffic: Traffic,
    /// Sessions that are open, and how many there may be.
    pub sessions: Sessions,
    /// Calls of other nodes that run here, and their transactions that are open.
    pub calls: Cell<usize>,
    /// Zones whose databases get nothing more.
    pub evacuations: RefCell<Evacuations>,
    /// Which nodes keep connections to which database.
    pub homes: Homes,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// How databases may be loaded that have just started.
    pub loads: Loads,
    /// Links to the homes of databases.
    pub links: Links,
    /// Copies of the store's keys, as they are passed on between nodes.
    pub feed: Feed,
    /// How far replicas usually are behind.
    pub replica_lag: Cell<LagEstimate>,
    /// Databases that are being replaced.
    pub fences: RefCell<Fences>,
    /// Whether this node would hear of a primary that is replaced.
    pub touch: Rc<Touch>,
    /// How current the keys of callers are.
    pub keys: KnownKeys,
    /// When the directory was last read as a whole.
    listed: Cell<Option<Instant>>,
    settling: Cell<bool>,
    /// True while pools are about to get their share of connections.
    sharing_out: Cell<bool>,
    stop: watch::Sender<StopPhase>,
    changed: watch::Sender<u64>,
    started: Instant,
    routes: RefCell<Rc<RouteSet>>,
    configured: Cell<bool>,
    groups: RefCell<HashMap<GroupName, Rc<GroupState>>>,
    /// Databases as this node uses them.
    pub databases: RefCell<HashMap<DatabaseName, Rc<DatabaseState>>>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(
        settings: Settings,
        caller_protocol: SharedCallerProtocol,
        database_protocol: SharedDatabaseProtocol,
        store_calls: Arc<StoreCalls>,
    ) -> Rc<Self> {
        let quotas = Quotas::new(settings.bounds.quota_slack);
        let sessions = Sessions::new(settings.node.capacity());
        let keys = KnownKeys::new(settings.access.key_policy());
        Rc::new(Self {
            settings,
            caller_protocol,
            database_protocol,
            events: EventLog::default(),
            directory: RefCell::default(),
            membership: Membership::default(),
            peers: RefCell::default(),
            counters: Counters::new(store_calls),
            measures: Rc::default(),
            traffic: Traffic::default(),
            sessions,
            calls: Cell::new(0),
            evacuations: RefCell::default(),
            homes: Homes::default(),
            quotas,
            loads: Loads::default(),
            links: Links::default(),
            feed: Feed::default(),
            replica_lag: Cell::default(),
            fences: RefCell::default(),
            touch: Rc::default(),
            keys,
            listed: Cell::new(None),
            settling: Cell::new(false),
            sharing_out: Cell::new(false),
            stop: watch::Sender::new(StopPhase::Serving),
            changed: watch::Sender::new(0),
            started: Instant::now(),
            routes: RefCell::default(),
            configured: Cell::new(false),
            groups: RefCell::default(),
            databases: RefCell::default(),
        })
    }

    /// Now, on the process's monotonic clock.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// When the process's clock began.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The routes in force.
    pub fn routes(&self) -> Rc<RouteSet> {
        self.routes.borrow().clone()
    }

    /// True when the process knows routes and databases, may serve some of them, and has room for
    /// sessions.
    pub fn is_ready(&self) -> bool {
        let has_all = self.configured.get() && self.listed.get().is_some();
        let may_serve = !self.refuses_all() && !self.sessions.is_full();
        has_all && !self.is_stopping() && may_serve
    }

    /// True when a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.configured.get()
    }

    /// Waits until a configuration is in force, at most until `until`.
    pub async fn configured_by(&self, until: Instant) {
        while !self.configured.get() && Instant::now() < until {
            self.next_change(until).await;
        }
    }

    /// Puts routes in force that were `stored` at a revision of the store's, unless newer ones are.
    pub fn put_in_force(&self, routes: RouteSet, stored: StoreRevision) {
        let in_force = self.routes.borrow().revision;
        if self.configured.get() && routes.revision <= in_force {
            // Copies bring what is in force again and again; that needs no line.
            if routes.revision < in_force {
                self.events.write(&Event::ConfigurationNotNewer {
                    revision: routes.revision.0,
                    in_force: in_force.0,
                    stored: stored.0,
                });
            }
            return;
        }
        self.events.write(&Event::ConfigurationInForce {
            revision: routes.revision.0,
            routes: routes.routes.len(),
            stored: stored.0,
        });
        let bound_before = self.routes.borrow().binds_regions();
        *self.routes.borrow_mut() = Rc::new(routes);
        self.configured.set(true);
        if self.routes.borrow().binds_regions() {
            self.report_unknown_regions();
            if !bound_before {
                self.reach_databases_directly();
            }
        }
        self.apply_connection_limits();
        for (name, group) in self.groups.borrow().iter() {
            let mut observations = group.observations.borrow_mut();
            observations.keep_for(self.observed_for(name));
        }
        self.tell_change();
    }

    /// Acts on a change of the directory.
    pub fn directory_changed(&self, changes: Vec<DirectoryChange>) {
        self.loads_changed(&changes);
        for change in changes {
            self.events.write(&Event::DirectoryChanged {
                change: format!("{change:?}"),
            });
            match change {
                DirectoryChange::Leaving(name) => self.close_idle(&name),
                DirectoryChange::Forgotten(name) => {
                    self.databases.borrow_mut().remove(&name);
                }
                DirectoryChange::Appeared(_) | DirectoryChange::RoleChanged(..) => {}
            }
        }
        self.tell_change();
        self.membership.attention.notify_one();
    }

    /// Drops the relays that were found while no region was ruled out.
    fn reach_databases_directly(&self) {
        for database in self.databases.borrow().values() {
            if database.pool.is_relayed() {
                database.pool.reach_directly();
                database.pool.close_idle(true);
            }
        }
    }

    fn close_idle(&self, name: &DatabaseName) {
        if let Some(database) = self.databases.borrow().get(name) {
            database.pool.close_idle(true);
        }
    }

    /// Takes in that the directory was read as a whole.
    pub fn listed_now(&self) {
        self.listed.set(Some(Instant::now()));
    }

    /// True once every database that runs has had time to announce itself since the directory was
    /// read: what is missing from it then is really missing.
    pub fn directory_is_settled(&self) -> bool {
        let listed = self.listed.get();
        listed.is_some_and(|at| at.elapsed() >= self.announcement_grace())
    }

    /// How long a database that runs may be missing from the directory.
    fn announcement_grace(&self) -> Duration {
        let heartbeat = self.settings.bounds.heartbeat();
        heartbeat.mul_f64(HEARTBEATS_GRACE)
    }

    /// Takes databases for gone that stay unlisted, once they have had time to announce themselves.
    pub fn settle_unlisted_later(self: &Rc<Self>) {
        if self.directory.borrow().oldest_unlisted().is_none() || self.settling.replace(true) {
            return;
        }
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let oldest = gateway.directory.borrow().oldest_unlisted();
                let Some(oldest) = oldest else {
                    break;
                };
                let grace = gateway.announcement_grace();
                let passed = gateway.now().saturating_since(oldest);
                tokio::time::sleep(grace.saturating_sub(passed)).await;
                let before = gateway.now() - grace;
                let changes = gateway.directory.borrow_mut().settle_unlisted(before);
                if !changes.is_empty() {
                    gateway.directory_changed(changes);
                }
            }
            gateway.settling.set(false);
        });
    }

    /// Writes the counters into the log.
    pub fn tell_counters(&self) {
        self.events.write(&Event::Counters(&self.counters));
    }

    /// Does what is due now and then.
    pub fn tidy(&self) {
        self.tell_counters();
        let long_ago = self.now() - GONE_REMEMBERED;
        let forgotten = self.directory.borrow_mut().forget_gone_before(long_ago);
        if !forgotten.is_empty() {
            self.directory_changed(forgotten);
        }
        for database in self.databases.borrow().values() {
            database.pool.close_idle(false);
        }
        self.links.tidy();
    }

    /// Tells all who wait that routes, databases or a primary changed.
    pub fn tell_change(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Waits for the next change, at most until `until`.
    pub async fn next_change(&self, until: Instant) {
        let mut changed = self.changed.subscribe();
        // Both a change and the end of the wait are fine.
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }

    /// Enters a phase of the planned stop.
    pub fn enter(&self, phase: StopPhase) {
        self.stop.send_replace(phase);
    }

    /// True once the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() > StopPhase::Serving
    }

    /// Waits until a phase of the planned stop begins.
    pub async fn entered(&self, phase: StopPhase) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as the gateway.
        let _ = stop.wait_for(|entered| *entered >= phase).await;
    }

    /// The group's state.
    pub fn group(&self, name: &GroupName) -> Rc<GroupState> {
        if let Some(group) = self.groups.borrow().get(name) {
            return group.clone();
        }
        let group = Rc::new(GroupState {
            observations: RefCell::new(Observations::new(self.observed_for(name))),
            observed: Notify::new(),
            searching: Cell::new(false),
            confirming: Cell::new(None),
            unled: Unled::default(),
            vettings: Vettings::default(),
            told_nowhere: Cell::new(None),
        });
        self.groups.borrow_mut().insert(name.clone(), group.clone());
        group
    }

    fn observed_for(&self, name: &GroupName) -> Duration {
        let bound = self.routes.borrow().longest_bound(name);
        bound.max(OBSERVED_AT_LEAST)
    }

    /// Takes in what a leading database showed in reply to a statement sent at `sent`. That it led
    /// must be sure, see [`Gateway::is_upheld`].
    pub fn observe(&self, group: &GroupName, position: Option<LogPosition>, sent: Timestamp) {
        let Some(position) = position else {
            return;
        };
        let group = self.group(group);
        group.unled.answered();
        let observation = Observation { position, sent };
        group
            .observations
            .borrow_mut()
            .record(self.now(), observation);
        group.observed.notify_waiters();
    }

    /// For how long the primary of `group` has been known to hold `position`; zero for a position
    /// that has yet to be asked for.
    pub fn age_of(&self, group: &GroupName, position: Option<LogPosition>) -> Duration {
        let state = self.group(group);
        let observations = state.observations.borrow();
        position.map_or(Duration::ZERO, |position| {
            observations.age_of(position, self.now())
        })
    }

    /// Takes in that a replica of `group` held, or lacked, `position`.
    pub fn replica_showed(&self, group: &GroupName, position: LogPosition, held: bool) {
        let age = self.age_of(group, Some(position));
        let mut lag = self.replica_lag.get();
        lag.record(self.now(), age, held);
        self.replica_lag.set(lag);
    }

    /// A database as this node uses it.
    pub fn database(
        &self,
        name: &DatabaseName,
        group: &GroupName,
        address: SocketAddr,
        expected_ms: f64,
    ) -> Rc<DatabaseState> {
        let mut databases = self.databases.borrow_mut();
        if let Some(database) = databases.get(name)
            && database.pool.address() == address
        {
            return database.clone();
        }
        let pool = Pool::new(
            self.database_protocol.clone(),
            name.clone(),
            group.clone(),
            address,
            self.connection_limit(name),
            self.loading(name),
            self.measures.clone(),
        );
        self.share_out_slots(name, &pool);
        let database = DatabaseState::new(pool, expected_ms);
        databases.insert(name.clone(), database.clone());
        database
    }

    /// Takes in that nodes came or went: each pool gets another share of its database's
    /// connections, once for all changes that come together.
    pub fn nodes_changed(self: &Rc<Self>) {
        self.homes.forget();
        self.traffic.forget_addresses();
        if self.sharing_out.replace(true) {
            return;
        }
        let gateway = self.clone();
        // It runs when whoever passes on the changes is done with them.
        tokio::task::spawn_local(async move {
            gateway.sharing_out.set(false);
            gateway.apply_connection_limits();
        });
    }

    /// Gives each pool its share of its database's connections.
    fn apply_connection_limits(&self) {
        self.homes.forget();
        for (name, database) in self.databases.borrow().iter() {
            let pool = &database.pool;
            pool.set_limit(self.connection_limit(name), self.is_home(name));
            self.share_out_slots(name, pool);
        }
        self.share_out_loads();
    }

    fn share_out_slots(&self, name: &DatabaseName, pool: &Pool) {
        let directory = self.directory.borrow();
        if let Some(member) = directory.member(name) {
            pool.share_out(member.announcement.slots, self.sharers(name));
        }
    }
}
