//! The parts of the process, and what concerns several of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dyketally::directory::DirectoryChange;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::route_policy::RouteSet;
use dyketally_store::key_value::StoreRevision;
use tokio::time::Instant;

use crate::context::Context;
use crate::counters::StoreCalls;
use crate::database::Databases;
use crate::database::health::DatabaseState;
use crate::database::pool::Pool;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::ports::{SharedCallerProtocol, SharedDatabaseProtocol};
use crate::quota::Quotas;
use crate::session::Sessions;
use crate::settings::Settings;
use crate::store::feed::Feed;
use crate::succession::Leadership;

/// Heartbeats within which a database that runs announces itself again.
const HEARTBEATS_GRACE: f64 = 1.4;
/// How long a database that is gone is remembered.
const GONE_REMEMBERED: Duration = Duration::from_secs(30);

/// The parts of the process.
pub struct Gateway {
    /// What all parts share.
    pub cx: Rc<Context>,
    /// The protocol of callers.
    pub caller_protocol: SharedCallerProtocol,
    /// The databases.
    pub databases: Rc<Databases>,
    /// The other nodes.
    pub fleet: Rc<Fleet>,
    /// Copies of the store's keys, as they are passed on between nodes.
    pub feed: Rc<Feed>,
    /// Who leads which group, as far as this node found out itself.
    pub leadership: Leadership,
    /// Quotas of tenants.
    pub quotas: Rc<Quotas>,
    /// Sessions that are open, and how many there may be.
    pub sessions: Sessions,
    /// When the log reported last that no database of a group may serve some statement.
    pub unserved_logged: RefCell<HashMap<GroupName, Instant>>,
    /// True while unlisted databases are waited for.
    settling: Cell<bool>,
    /// True while pools are about to get their share of connections.
    sharing_out: Cell<bool>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(
        settings: Settings,
        caller_protocol: SharedCallerProtocol,
        database_protocol: SharedDatabaseProtocol,
        store_calls: Arc<StoreCalls>,
    ) -> Rc<Self> {
        let cx = Context::new(settings, store_calls);
        let fleet = Fleet::new(cx.clone());
        let quotas = Quotas::new(cx.clone(), fleet.clone());
        let sessions = Sessions::new(cx.settings.node.capacity());
        Rc::new(Self {
            databases: Databases::new(cx.clone(), database_protocol),
            fleet,
            cx,
            caller_protocol,
            feed: Rc::default(),
            leadership: Leadership::default(),
            quotas,
            sessions,
            unserved_logged: RefCell::default(),
            settling: Cell::new(false),
            sharing_out: Cell::new(false),
        })
    }

    /// True when the process knows routes and databases, may serve some of them, and has room for
    /// sessions.
    pub fn is_ready(&self) -> bool {
        let has_all = self.cx.is_configured() && self.databases.listed.get().is_some();
        let may_serve = !self.cx.refuses_all() && !self.sessions.is_full();
        has_all && !self.cx.stop.is_stopping() && may_serve
    }

    /// Puts routes in force that were `stored` at a revision of the store's, unless newer ones are.
    pub fn put_in_force(&self, routes: RouteSet, stored: StoreRevision) {
        let in_force = self.cx.routes().revision;
        if self.cx.is_configured() && routes.revision <= in_force {
            // Copies bring what is in force again and again; that needs no line.
            if routes.revision < in_force {
                self.cx.events.write(&Event::ConfigurationNotNewer {
                    revision: routes.revision.0,
                    in_force: in_force.0,
                    stored: stored.0,
                });
            }
            return;
        }
        self.cx.events.write(&Event::ConfigurationInForce {
            revision: routes.revision.0,
            routes: routes.routes.len(),
            stored: stored.0,
        });
        let bound_before = self.cx.routes().binds_regions();
        self.cx.configuration.replace(routes);
        if self.cx.routes().binds_regions() {
            self.report_unknown_regions();
            if !bound_before {
                self.reach_databases_directly();
            }
        }
        self.apply_connection_limits();
        self.databases.keep_observations();
        self.cx.changes.notify();
    }

    /// Acts on a change of the directory.
    pub fn directory_changed(&self, changes: Vec<DirectoryChange>) {
        self.loads_changed(&changes);
        for change in changes {
            self.cx.events.write(&Event::DirectoryChanged {
                change: format!("{change:?}"),
            });
            match change {
                DirectoryChange::Leaving(name) => self.close_idle(&name),
                DirectoryChange::Forgotten(name) => {
                    self.databases.states.borrow_mut().remove(&name);
                }
                DirectoryChange::Appeared(_) | DirectoryChange::RoleChanged(..) => {}
            }
        }
        self.cx.changes.notify();
        self.fleet.membership.attention.notify_one();
    }

    /// Drops the relays that were found while no region was ruled out.
    fn reach_databases_directly(&self) {
        for database in self.databases.states.borrow().values() {
            if database.pool.is_relayed() {
                database.pool.reach_directly();
                database.pool.close_idle(true);
            }
        }
    }

    fn close_idle(&self, name: &DatabaseName) {
        if let Some(database) = self.databases.states.borrow().get(name) {
            database.pool.close_idle(true);
        }
    }

    /// Records that the directory was read as a whole.
    pub fn listed_now(&self) {
        self.databases.listed.set(Some(Instant::now()));
    }

    /// True once every database that runs has had time to announce itself since the directory was
    /// read: what is missing from it then is really missing.
    pub fn directory_is_settled(&self) -> bool {
        let listed = self.databases.listed.get();
        listed.is_some_and(|at| at.elapsed() >= self.announcement_grace())
    }

    /// How long a database that runs may be missing from the directory.
    fn announcement_grace(&self) -> Duration {
        let heartbeat = self.cx.settings.bounds.heartbeat();
        heartbeat.mul_f64(HEARTBEATS_GRACE)
    }

    /// Takes databases for gone that stay unlisted, once they have had time to announce themselves.
    pub fn settle_unlisted_later(self: &Rc<Self>) {
        if self
            .databases
            .directory
            .borrow()
            .oldest_unlisted()
            .is_none()
            || self.settling.replace(true)
        {
            return;
        }
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let oldest = gateway.databases.directory.borrow().oldest_unlisted();
                let Some(oldest) = oldest else {
                    break;
                };
                let grace = gateway.announcement_grace();
                let passed = gateway.cx.now().saturating_since(oldest);
                tokio::time::sleep(grace.saturating_sub(passed)).await;
                let before = gateway.cx.now() - grace;
                let changes = gateway
                    .databases
                    .directory
                    .borrow_mut()
                    .settle_unlisted(before);
                if !changes.is_empty() {
                    gateway.directory_changed(changes);
                }
            }
            gateway.settling.set(false);
        });
    }

    /// Writes the counters into the log.
    pub fn tell_counters(&self) {
        self.cx.events.write(&Event::Counters(&self.cx.counters));
    }

    /// Does what is due now and then.
    pub fn tidy(&self) {
        self.tell_counters();
        let long_ago = self.cx.now() - GONE_REMEMBERED;
        let forgotten = self
            .databases
            .directory
            .borrow_mut()
            .forget_gone_before(long_ago);
        if !forgotten.is_empty() {
            self.directory_changed(forgotten);
        }
        for database in self.databases.states.borrow().values() {
            database.pool.close_idle(false);
        }
        self.fleet.links.tidy();
    }

    /// A database as this node uses it.
    pub fn database(
        &self,
        name: &DatabaseName,
        group: &GroupName,
        address: SocketAddr,
        expected_ms: f64,
    ) -> Rc<DatabaseState> {
        let mut databases = self.databases.states.borrow_mut();
        if let Some(database) = databases.get(name)
            && database.pool.address() == address
        {
            return database.clone();
        }
        let pool = Pool::new(
            self.databases.protocol.clone(),
            name.clone(),
            group.clone(),
            address,
            self.connection_limit(name),
            self.databases.loading(name),
            self.cx.measures.clone(),
        );
        self.share_out_slots(name, &pool);
        let database = DatabaseState::new(pool, expected_ms);
        databases.insert(name.clone(), database.clone());
        database
    }

    /// Takes in that nodes came or went: each pool gets another share of its database's
    /// connections, once for all changes that come together.
    pub fn nodes_changed(self: &Rc<Self>) {
        self.fleet.homes.forget();
        self.fleet.traffic.forget_addresses();
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
        self.fleet.homes.forget();
        for (name, database) in self.databases.states.borrow().iter() {
            let pool = &database.pool;
            pool.set_limit(self.connection_limit(name), self.is_home(name));
            self.share_out_slots(name, pool);
        }
        self.share_out_loads();
    }

    fn share_out_slots(&self, name: &DatabaseName, pool: &Pool) {
        let directory = self.databases.directory.borrow();
        if let Some(member) = directory.member(name) {
            pool.share_out(member.announcement.slots, self.sharers(name));
        }
    }
}
