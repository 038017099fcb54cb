//! Assembles the parts of the process, and holds operations that involve several of them.

use std::collections::BTreeSet;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use dyketally::identifiers::RegionName;
use dyketally::route_policy::RouteSet;
use dyketally_store::key_value::StoreRevision;

use crate::context::Context;
use crate::counters::StoreCalls;
use crate::database::connection::Connector;
use crate::database::{Databases, SharedDirectory};
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::forwarding::NodeForwarding;
use crate::fleet::membership::NodeChange;
use crate::ports::{SharedCallerProtocol, SharedDatabaseProtocol};
use crate::quota::Quotas;
use crate::session::Sessions;
use crate::settings::Settings;
use crate::statement::Statements;
use crate::store::feed::Feed;
use crate::succession::Leadership;

/// The parts of the process.
pub struct Gateway {
    /// The context that all parts share.
    pub cx: Rc<Context>,
    /// The databases.
    pub databases: Rc<Databases>,
    /// The other nodes.
    pub fleet: Rc<Fleet>,
    /// Access to databases, directly and through other nodes.
    pub access: Rc<DatabaseAccess>,
    /// Copies of the store's keys, which nodes pass on to each other.
    pub feed: Rc<Feed>,
    /// The primary of each group, and whether this node's knowledge of it is confirmed.
    pub leadership: Rc<Leadership>,
    /// Quotas of tenants.
    pub quotas: Rc<Quotas>,
    /// Callers' sessions.
    pub sessions: Rc<Sessions>,
}

impl Gateway {
    /// Creates a gateway that has read nothing from the store and knows no databases and no other nodes.
    pub fn new(
        settings: Settings,
        caller_protocol: SharedCallerProtocol,
        database_protocol: SharedDatabaseProtocol,
        store_calls: Arc<StoreCalls>,
    ) -> Rc<Self> {
        let cx = Context::new(settings, store_calls);
        let directory = SharedDirectory::default();
        let fleet = Fleet::new(cx.clone(), directory.clone());
        let quotas = Quotas::new(cx.clone(), fleet.clone());
        let connector = Connector::new(database_protocol, Rc::new(NodeForwarding));
        let databases = Databases::new(cx.clone(), directory, connector, fleet.clone());
        let feed = Feed::new(fleet.clone(), databases.clone());
        let access = DatabaseAccess::new(fleet.clone(), databases.clone());
        let leadership = Leadership::new(&access, &feed);
        let statements = Statements::new(cx.clone(), access.clone(), leadership.clone());
        let sessions = Sessions::new(cx.clone(), caller_protocol, statements, quotas.clone());
        let gateway = Rc::new(Self {
            databases,
            fleet,
            access,
            feed,
            cx,
            leadership,
            quotas,
            sessions,
        });
        let watch: Weak<Leadership> = Rc::downgrade(&gateway.leadership);
        gateway.databases.set_primary_watch(watch);
        gateway
    }

    /// True when the process has routes and the list of databases, isn't stopping, may run statements, and has
    /// room for sessions.
    pub fn is_ready(&self) -> bool {
        let has_all = self.cx.is_configured() && self.databases.is_listed();
        let may_serve = !self.cx.refuses_all() && !self.sessions.is_full();
        has_all && !self.cx.stop.is_stopping() && may_serve
    }

    /// Applies a configuration, unless the current one has the same or a higher revision. `stored` is the
    /// store's revision at which the configuration was put.
    pub fn apply_configuration(&self, routes: RouteSet, stored: StoreRevision) {
        let in_force = self.cx.routes().revision;
        if self.cx.is_configured() && routes.revision <= in_force {
            // Copies of the store deliver the current configuration repeatedly, which needs no log line.
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
        self.databases.recompute_shares();
        self.databases.update_observation_retention();
        self.cx.changes.notify();
    }

    /// Writes the counters to the log.
    pub fn log_counters(&self) {
        self.cx.events.write(&Event::Counters(&self.cx.counters));
    }

    /// Runs the periodic tasks: logs the counters, forgets databases that are gone, and closes idle connections
    /// and links.
    pub fn run_periodic_tasks(&self) {
        self.log_counters();
        self.databases.forget_gone_and_close_idle();
        self.fleet.links.close_expired();
    }

    /// Applies changes of the set of nodes: forgets the placements and addresses that they change, and gives each
    /// pool its new share of its database's connections.
    pub fn nodes_changed(&self, changes: &[NodeChange]) {
        self.fleet.forget_changed_placements(changes);
        self.fleet.traffic.forget_addresses(changes);
        self.databases.apply_shares_soon();
    }

    /// Logs each region that a route or tenant is bound to and that no zone of the settings is in: no
    /// database is in such a region.
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
