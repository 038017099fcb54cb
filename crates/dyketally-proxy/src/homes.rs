//! Finds the home of a database and hands requests to it, in this process or behind a link.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use dyketally::identifiers::{DatabaseName, Locality, NodeName, SessionId};
use dyketally::outcome::NotRunReason;
use dyketally::policy::{DatabasePolicy, PolicySet};
use dyketally_protocol::Completion;
use tokio::sync::watch;

use crate::home::{AddressRoutes, Home, HomeHandle, HomeOptions};
use crate::link::LinkPool;
use crate::reply::HomeRequest;

/// A node that is home to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeLocation {
    /// This node.
    Here,
    /// Another node.
    At {
        /// The node.
        node: NodeName,
        /// Where it accepts links, after address translation.
        address: SocketAddr,
    },
}

/// Tells which live node is the home of a database.
pub trait LocateHome: fmt::Debug + Send + Sync {
    /// The home of `database`, which runs at `locality`; `None` when no node is live.
    fn locate(&self, database: &DatabaseName, locality: &Locality) -> Option<HomeLocation>;

    /// The home of `database` and the nodes that would follow it, best first.
    fn rank(&self, database: &DatabaseName, locality: &Locality) -> Vec<HomeLocation>;
}

/// The way from an edge to all homes, and the homes of this node.
#[derive(Debug)]
pub struct Homes {
    policies: watch::Receiver<Arc<PolicySet>>,
    placement: Arc<dyn LocateHome>,
    links: LinkPool,
    routes: AddressRoutes,
    options: HomeOptions,
    here: Mutex<HashMap<DatabaseName, HomeHandle>>,
    leaving: Mutex<HashSet<DatabaseName>>,
}

impl Homes {
    /// Homes by `placement`, reached over `links`; those of this node run with `options` and
    /// reach databases at the addresses that `routes` translates to.
    pub fn new(
        policies: watch::Receiver<Arc<PolicySet>>,
        placement: Arc<dyn LocateHome>,
        links: LinkPool,
        routes: AddressRoutes,
        options: HomeOptions,
    ) -> Self {
        Self {
            policies,
            placement,
            links,
            routes,
            options,
            here: Mutex::default(),
            leaving: Mutex::default(),
        }
    }

    /// The home of `database` as this node sees it now. A home to which no link could be opened
    /// a moment ago is passed over for the node that would follow it.
    pub fn locate(&self, database: &DatabasePolicy) -> Option<HomeLocation> {
        let (name, locality) = (&database.name, &database.locality);
        let home = self.placement.locate(name, locality)?;
        if !self.is_unreachable(&home) {
            return Some(home);
        }
        let ranked = self.placement.rank(name, locality);
        let reachable = ranked.into_iter().find(|node| !self.is_unreachable(node));
        Some(reachable.unwrap_or(home))
    }

    fn is_unreachable(&self, location: &HomeLocation) -> bool {
        match location {
            HomeLocation::Here => false,
            HomeLocation::At { address, .. } => self.links.is_unreachable(*address),
        }
    }

    /// Hands `request` to the node at `location`. The reply always completes.
    pub fn submit(&self, location: &HomeLocation, request: HomeRequest) {
        match location {
            HomeLocation::Here => self.submit_here(request),
            HomeLocation::At { address, .. } => self.links.submit(*address, request),
        }
    }

    /// Tells a home that a session is over.
    pub fn end_session(&self, location: &HomeLocation, session: &SessionId) {
        match location {
            HomeLocation::Here => self.end_session_here(session),
            HomeLocation::At { address, .. } => self.links.end_session(*address, session.clone()),
        }
    }

    /// Closes the link to a dead node, which accepted links at `configured`.
    pub fn close_link(&self, configured: SocketAddr) {
        self.links.close(self.routes.resolve(configured));
    }

    /// Hands `request` to a home of this node. A node that is asked serves, even if its own view
    /// names another home: two homes of one database are kept apart by the database's own limits.
    pub fn submit_here(&self, request: HomeRequest) {
        match self.home_here(&request.execute.database) {
            Some(home) => home.submit(request),
            // A node that has just started and has no configuration yet knows no database. Others
            // may have it for a home already; they try again, or elsewhere.
            None if self.policies.borrow().groups.is_empty() => {
                refuse(request, NotRunReason::NotHome);
            }
            None => refuse(request, NotRunReason::NotConfigured),
        }
    }

    /// Ends a session at the homes of this node.
    pub fn end_session_here(&self, session: &SessionId) {
        for home in self.handles() {
            home.end_session(session);
        }
    }

    /// Tells the homes which databases leave, by the platform's machine list.
    pub fn set_leaving_databases(&self, databases: HashSet<DatabaseName>) {
        for (database, home) in self.lock().iter() {
            home.set_database_leaving(databases.contains(database));
        }
        *self.lock_leaving() = databases;
    }

    /// The homes that this node runs.
    pub fn handles(&self) -> Vec<HomeHandle> {
        self.lock().values().cloned().collect()
    }

    fn home_here(&self, database: &DatabaseName) -> Option<HomeHandle> {
        let mut here = self.lock();
        if let Some(home) = here.get(database) {
            return Some(home.clone());
        }
        self.policies.borrow().database(database)?;
        let home = Home::start(
            database.clone(),
            self.policies.clone(),
            self.routes.clone(),
            self.options.clone(),
        );
        home.set_database_leaving(self.lock_leaving().contains(database));
        here.insert(database.clone(), home.clone());
        Some(home)
    }

    fn lock_leaving(&self) -> std::sync::MutexGuard<'_, HashSet<DatabaseName>> {
        self.leaving
            .lock()
            .expect("no code panics while it holds this lock")
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<DatabaseName, HomeHandle>> {
        self.here
            .lock()
            .expect("no code panics while it holds this lock")
    }
}

fn refuse(request: HomeRequest, reason: NotRunReason) {
    // An edge that has gone needs no answer.
    let _ = request.reply.finish(Completion::NotRun {
        reason,
        retry_after: None,
    });
}
