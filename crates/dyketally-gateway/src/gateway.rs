//! The parts of the process, and what concerns several of them.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;

use dyketally::identifiers::{GroupName, RegionName};
use dyketally::route_policy::RouteSet;
use dyketally_store::key_value::StoreRevision;
use tokio::time::Instant;

use crate::context::Context;
use crate::counters::StoreCalls;
use crate::database::connection::Connector;
use crate::database::primary::PrimaryWatch;
use crate::database::target::Target;
use crate::database::{Databases, SharedDirectory};
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::forwarding::ThroughNodes;
use crate::ports::{SharedCallerProtocol, SharedDatabaseProtocol};
use crate::quota::Quotas;
use crate::session::Sessions;
use crate::settings::Settings;
use crate::store::feed::Feed;
use crate::succession::Leadership;

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
        let sessions = Sessions::new(cx.settings.node.capacity());
        let directory = SharedDirectory::default();
        let fleet = Fleet::new(cx.clone(), directory.clone());
        let quotas = Quotas::new(cx.clone(), fleet.clone());
        let connector = Connector::new(database_protocol, Rc::new(ThroughNodes));
        let databases = Databases::new(cx.clone(), directory, connector, fleet.clone());
        let feed = Feed::new(fleet.clone(), databases.clone());
        let gateway = Rc::new(Self {
            databases,
            fleet,
            feed,
            cx,
            caller_protocol,
            leadership: Leadership::default(),
            quotas,
            sessions,
            unserved_logged: RefCell::default(),
        });
        let watch: Weak<Self> = Rc::downgrade(&gateway);
        gateway.databases.watched_by(watch);
        gateway
    }

    /// True when the process knows routes and databases, may serve some of them, and has room for
    /// sessions.
    pub fn is_ready(&self) -> bool {
        let has_all = self.cx.is_configured() && self.databases.is_listed();
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
                self.databases.reach_all_directly();
            }
        }
        self.databases.apply_shares();
        self.databases.keep_observations();
        self.cx.changes.notify();
    }

    /// Writes the counters into the log.
    pub fn tell_counters(&self) {
        self.cx.events.write(&Event::Counters(&self.cx.counters));
    }

    /// Does what is due now and then.
    pub fn tidy(&self) {
        self.tell_counters();
        self.databases.tidy();
        self.fleet.links.tidy();
    }

    /// Acts on nodes that came or went: each pool gets another share of its database's connections.
    pub fn nodes_changed(&self) {
        self.fleet.homes.forget();
        self.fleet.traffic.forget_addresses();
        self.databases.apply_shares_soon();
    }

    /// Logs regions that routes or tenants name and no zone has: nothing is served there.
    pub fn report_unknown_regions(&self) {
        let known: BTreeSet<&RegionName> = self.cx.settings.zones.values().collect();
        let named = self.cx.routes().named_regions();
        for region in named.iter().filter(|region| !known.contains(region)) {
            self.cx.events.write(&Event::RegionUnknown {
                region: region.as_str(),
            });
        }
    }
}

impl PrimaryWatch for Gateway {
    fn primary_is_unconfirmed(&self, group: &GroupName) -> bool {
        self.is_unclear(group)
    }

    fn suspect(self: Rc<Self>, target: &Target) {
        self.suspect_primary(target);
    }

    fn look_at_primaries(&self) {
        self.fleet.coordinator.attention.notify_one();
    }
}
