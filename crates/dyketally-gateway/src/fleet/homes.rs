//! Which nodes keep connections to a database: all of them while there are connections enough, a
//! few homes otherwise.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use dyketally::eligibility::{ServingRegions, may_pass};
use dyketally::identifiers::{DatabaseName, NodeName, RegionName, TenantName};
use dyketally::placement::{self, Sharing};

use crate::database::claim::{Claim, Work};
use crate::fleet::passed_over::PassedOver;
use crate::gateway::Gateway;
use crate::ports::DatabaseUser;

/// Connections assumed where the configuration doesn't tell.
const GRANTED_ASSUMED: u32 = 16;
/// Further nodes that are asked when no home can be.
const STAND_INS: usize = 1;

/// How this node reaches a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Over connections of its own.
    Own,
    /// By way of one of these homes, in the order of preference.
    Via(Rc<[SocketAddr]>),
}

/// One database as this node reaches it, by the nodes that are known.
#[derive(Clone, Debug)]
struct Placed {
    is_home: bool,
    sharing: Sharing,
    /// Other nodes than this one that are homes, in the order in which it asks them.
    homes: Vec<HomeNode>,
    /// Nodes that stand in when no home can be reached.
    stand_ins: Vec<HomeNode>,
    /// Other nodes than this one that send to the database while it is cold, in the order in which it
    /// asks them.
    holders: Vec<HomeNode>,
    /// True when this node is one of those.
    holds_load: bool,
}

/// A node that keeps connections to a database.
#[derive(Clone, Debug)]
struct HomeNode {
    name: NodeName,
    address: SocketAddr,
    region: RegionName,
}

impl Placed {
    fn nodes(&self) -> impl Iterator<Item = &HomeNode> {
        self.homes.iter().chain(&self.stand_ins)
    }

    /// Nodes that send to the database while it is cold and that statements which `regions` bind may
    /// pass through.
    fn ordered_holders(&self, regions: &ServingRegions) -> Rc<[SocketAddr]> {
        let holders = self.holders.iter();
        let permitted = holders.filter(|node| may_pass(regions, &node.region));
        permitted.map(|node| node.address).collect()
    }

    /// Homes and stand-ins that statements which `regions` bind may pass through, in the order in
    /// which they are asked for connections of `user`.
    fn ordered(&self, user: Option<&DatabaseUser>, regions: &ServingRegions) -> Rc<[SocketAddr]> {
        let nodes: Vec<&HomeNode> = match user {
            Some(DatabaseUser::Tenant(tenant)) => {
                self.homes_of(tenant).chain(&self.stand_ins).collect()
            }
            _ => self.nodes().collect(),
        };
        let nodes = nodes.into_iter();
        let permitted = nodes.filter(|node| may_pass(regions, &node.region));
        permitted.map(|node| node.address).collect()
    }

    fn homes_of(&self, tenant: &TenantName) -> impl Iterator<Item = &HomeNode> {
        let names: Vec<&NodeName> = self.homes.iter().map(|home| &home.name).collect();
        let ordered = placement::preference_for(tenant, &names);
        ordered
            .into_iter()
            .filter_map(|name| self.homes.iter().find(|home| &home.name == name))
    }
}

/// What was worked out from the nodes that are known, until these change.
#[derive(Default)]
pub struct Homes {
    placed: RefCell<HashMap<DatabaseName, Rc<Placed>>>,
    /// Homes that failed or leave.
    pub passed_over: PassedOver,
    /// Homes that are being looked for.
    looked_for: RefCell<HashSet<SocketAddr>>,
}

impl Homes {
    /// Forgets what was worked out: nodes or limits changed.
    pub fn forget(&self) {
        self.placed.borrow_mut().clear();
    }
}

impl Gateway {
    /// How this node reaches a database for what `claim` tells. Where no home may see it, it uses a
    /// connection of its own; a database that is cold is reached only by way of those that send to it
    /// then.
    pub fn reach(&self, database: &DatabaseName, claim: &Claim) -> Reach {
        let Some(placed) = self.placed(database) else {
            return Reach::Own;
        };
        if claim.work != Work::Control && self.databases.loading(database).is_cold() {
            return match placed.holds_load {
                true => Reach::Own,
                false => Reach::Via(placed.ordered_holders(&claim.regions)),
            };
        }
        if placed.is_home {
            return Reach::Own;
        }
        let homes = placed.ordered(claim.user.as_ref(), &claim.regions);
        let usable = |home: &SocketAddr| !self.fleet.homes.passed_over.contains(home);
        match homes.iter().any(usable) {
            true => Reach::Via(homes),
            false => Reach::Own,
        }
    }

    /// Connections that this node may have open to a database.
    pub fn connection_limit(&self, database: &DatabaseName) -> u32 {
        match self.placed(database) {
            Some(placed) => placed.sharing.limit(placed.is_home),
            None => 1,
        }
    }

    /// Nodes that share a database's slots: its homes. Where every node keeps connections of its own
    /// they don't, since most are far away and need more in flight to keep a slot busy; what the
    /// database turns away limits each of them.
    pub fn sharers(&self, database: &DatabaseName) -> usize {
        match self.placed(database).map(|placed| placed.sharing) {
            Some(Sharing::Homes { count, .. }) => count,
            Some(Sharing::Everyone(_)) | None => 1,
        }
    }

    /// True when this node sends to a database while that is cold.
    pub fn holds_load(&self, database: &DatabaseName) -> bool {
        let placed = self.placed(database);
        placed.is_some_and(|placed| placed.holds_load)
    }

    /// True when this node keeps connections to a database.
    pub fn is_home(&self, database: &DatabaseName) -> bool {
        self.placed(database).is_some_and(|placed| placed.is_home)
    }

    /// The other homes of a database and their stand-ins; none where all nodes are homes.
    pub fn homes_of(&self, database: &DatabaseName) -> Vec<SocketAddr> {
        let Some(placed) = self.placed(database) else {
            return Vec::new();
        };
        placed.nodes().map(|node| node.address).collect()
    }

    /// Finds out whether a home runs that stays silent on a call for `database`. One that doesn't reply
    /// to datagrams either is passed over. Homes run near their databases, so that both are often lost
    /// together: a primary is reported at once, and the poll that follows finds out.
    pub fn look_for_home(self: &Rc<Self>, home: SocketAddr, database: &DatabaseName) {
        let Some(peers) = self.fleet.peers.borrow().clone() else {
            return;
        };
        if !self.fleet.homes.looked_for.borrow_mut().insert(home) {
            return;
        }
        let gateway = self.clone();
        let database = database.clone();
        tokio::task::spawn_local(async move {
            let found = peers.is_reached(home).await;
            gateway.fleet.homes.looked_for.borrow_mut().remove(&home);
            if found {
                return;
            }
            gateway.fleet.homes.passed_over.add(home);
            gateway.fleet.links.close(home);
            let target = gateway.known_target(&database);
            if let Some(target) = target.filter(|target| gateway.is_primary(target)) {
                gateway.report_suspicion(&target);
            }
        });
    }

    fn placed(&self, database: &DatabaseName) -> Option<Rc<Placed>> {
        if let Some(placed) = self.fleet.homes.placed.borrow().get(database) {
            return Some(placed.clone());
        }
        let placed = Rc::new(self.place(database)?);
        let mut known = self.fleet.homes.placed.borrow_mut();
        known.insert(database.clone(), placed.clone());
        Some(placed)
    }

    fn place(&self, database: &DatabaseName) -> Option<Placed> {
        let (group, zone) = {
            let directory = self.databases.directory.borrow();
            let announcement = &directory.member(database)?.announcement;
            (announcement.group.clone(), announcement.zone.clone())
        };
        let routes = self.cx.routes();
        let limits = routes.groups.get(&group);
        let granted = limits.map_or(GRANTED_ASSUMED, |limits| limits.connection_limit);
        let nodes = self.fleet.membership.node_count();
        let sharing = Sharing::of(granted, nodes);
        let everyone = matches!(sharing, Sharing::Everyone(_));
        let count = sharing.homes(nodes);
        let holder_count = self.load_holders(&group);
        let locality = self.cx.settings.locality(&zone);
        let own = &self.cx.settings.node.name;
        let nodes = self.fleet.membership.nodes();
        let candidates = nodes.values().map(|node| node.candidate());
        let wanted = match everyone {
            true => holder_count,
            false => holder_count.max(count + STAND_INS),
        };
        let ranked = placement::rank(database, &locality, candidates, wanted);
        let holders = &ranked[..holder_count.min(ranked.len())];
        let (homes, others) = match everyone {
            true => ranked.split_at(0),
            false => ranked.split_at(count.min(ranked.len())),
        };
        let stand_ins: Vec<&NodeName> = match everyone {
            true => Vec::new(),
            false => others.iter().take(STAND_INS).copied().collect(),
        };
        let is_home = everyone || homes.contains(&own);
        let ordered = placement::preference(own, homes);
        let others = |names: Vec<&NodeName>| -> Vec<HomeNode> {
            let others = names.into_iter().filter(|name| *name != own);
            let found = others.filter_map(|name| nodes.get(name));
            let described = found.map(|node| HomeNode {
                name: node.node.clone(),
                address: node.address,
                region: node.locality.region.clone(),
            });
            described.collect()
        };
        Some(Placed {
            is_home,
            sharing,
            homes: others(ordered),
            stand_ins: others(stand_ins),
            holders: others(placement::preference(own, holders)),
            holds_load: holders.contains(&own),
        })
    }
}
