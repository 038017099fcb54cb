//! Computes which nodes are homes of a database, that is, keep connections to it: all nodes if the
//! database's connection limit is high enough for that, a few otherwise.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use dyketally::directory::Announcement;
use dyketally::eligibility::{ServingRegions, may_pass_through};
use dyketally::identifiers::{DatabaseName, NodeName, RegionName, TenantName};
use dyketally::placement::{self, Ranking, Sharing};

use crate::database::shares::ConnectionShares;
use crate::database::slow_start::cold_senders;
use crate::fleet::Fleet;
use crate::fleet::membership::NodeChange;
use crate::fleet::passive_exclusions::Exclusions;
use crate::ports::DatabaseUser;

/// Connections to a database that all nodes together may open if the configuration sets no limit.
const DEFAULT_CONNECTION_LIMIT: u32 = 16;
/// Number of nodes besides the homes that this node calls when no home can be reached.
const STAND_IN_COUNT: usize = 1;

/// The nodes through which this node reaches one database, computed from the nodes that are known.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) is_home: bool,
    /// Connections that all nodes together may open.
    connection_limit: u32,
    /// Statements that the database runs at a time.
    slots: u32,
    sharing: Sharing,
    /// The nodes that this placement was computed from.
    ranking: Ranking,
    /// Homes other than this node, in the order in which this node calls them. Empty if every node is one.
    homes: Vec<HomeNode>,
    /// Nodes that this node calls when no home can be reached.
    stand_ins: Vec<HomeNode>,
    /// Nodes other than this one that send to the database while it is cold, in the order in which this
    /// node calls them.
    cold_senders: Vec<HomeNode>,
    /// True when this node sends to the database itself while the database is cold.
    pub(super) may_send_cold: bool,
}

/// A node that this node may call for a database.
#[derive(Clone, Debug)]
struct HomeNode {
    name: NodeName,
    address: SocketAddr,
    region: RegionName,
}

impl Placement {
    fn is_altered_by(&self, change: &NodeChange) -> bool {
        match change {
            NodeChange::Joined(node) => self.ranking.is_altered_by_join(node.candidate()),
            NodeChange::Left(node) => self.ranking.is_altered_by_leave(&node.node),
        }
    }

    fn nodes(&self) -> impl Iterator<Item = &HomeNode> {
        self.homes.iter().chain(&self.stand_ins)
    }

    /// Nodes that send to the database while it is cold and that statements restricted to `regions` may
    /// pass through, in the order of preference.
    pub(super) fn ordered_cold_senders(&self, regions: &ServingRegions) -> Rc<[SocketAddr]> {
        let senders = self.cold_senders.iter();
        let permitted = senders.filter(|node| may_pass_through(regions, &node.region));
        permitted.map(|node| node.address).collect()
    }

    /// Homes and stand-ins that statements restricted to `regions` may pass through, in the order in which
    /// this node calls them for connections of `user`.
    pub(super) fn ordered_homes(
        &self,
        user: Option<&DatabaseUser>,
        regions: &ServingRegions,
    ) -> Rc<[SocketAddr]> {
        let nodes: Vec<&HomeNode> = match user {
            Some(DatabaseUser::Tenant(tenant)) => {
                self.homes_of(tenant).chain(&self.stand_ins).collect()
            }
            _ => self.nodes().collect(),
        };
        let nodes = nodes.into_iter();
        let permitted = nodes.filter(|node| may_pass_through(regions, &node.region));
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

/// Cached placements of databases, and the state of homes that failed.
#[derive(Default)]
pub struct Homes {
    /// Placements computed from the known nodes and limits, until these change.
    placements: RefCell<HashMap<DatabaseName, Rc<Placement>>>,
    /// Homes that are excluded for a while, since they failed or are stopping.
    pub exclusions: Exclusions,
    /// Homes that are being probed because they didn't reply to a call.
    pub(super) being_probed: RefCell<HashSet<SocketAddr>>,
}

impl Homes {
    /// Clears the cached placements after limits changed.
    fn forget_all(&self) {
        self.placements.borrow_mut().clear();
    }
}

impl ConnectionShares for Fleet {
    /// Connections that this node may have open to a database.
    fn connection_limit(&self, database: &DatabaseName) -> u32 {
        match self.placement_of(database) {
            Some(placement) => placement.sharing.limit(placement.is_home),
            None => 1,
        }
    }

    /// True when this node keeps connections to a database.
    fn is_home(&self, database: &DatabaseName) -> bool {
        self.placement_of(database)
            .is_some_and(|placement| placement.is_home)
    }

    /// Number of nodes that share a database's slots: the number of its homes. If every node is a home, the
    /// slots aren't divided (1): most nodes are far from the database and need more requests in flight to
    /// keep a slot busy, and the database's refusals limit each node.
    fn slot_sharers(&self, database: &DatabaseName) -> usize {
        match self
            .placement_of(database)
            .map(|placement| placement.sharing)
        {
            Some(Sharing::Homes { count, .. }) => count,
            Some(Sharing::Everyone(_)) | None => 1,
        }
    }

    fn may_send_cold(&self, database: &DatabaseName) -> bool {
        let placement = || self.placement_of(database);
        self.membership.is_known() && placement().is_some_and(|it| it.may_send_cold)
    }

    fn invalidate(&self) {
        self.homes.forget_all();
    }

    fn forget(&self, database: &DatabaseName) {
        self.homes.placements.borrow_mut().remove(database);
    }
}

impl Fleet {
    /// Forgets the cached placements that `changes` of the nodes alter.
    pub fn forget_changed_placements(&self, changes: &[NodeChange]) {
        let nodes = self.membership.node_count();
        let mut placements = self.homes.placements.borrow_mut();
        placements.retain(|_, placement| {
            let is_shared_as_before =
                Sharing::of(placement.connection_limit, nodes, placement.slots)
                    == placement.sharing;
            is_shared_as_before && !changes.iter().any(|change| placement.is_altered_by(change))
        });
    }

    /// Addresses of the homes and stand-ins of a database other than this node; empty if every node is a
    /// home.
    pub fn homes_of(&self, database: &DatabaseName) -> Vec<SocketAddr> {
        let Some(placement) = self.placement_of(database) else {
            return Vec::new();
        };
        placement.nodes().map(|node| node.address).collect()
    }

    pub(super) fn placement_of(&self, database: &DatabaseName) -> Option<Rc<Placement>> {
        if let Some(placement) = self.homes.placements.borrow().get(database) {
            return Some(placement.clone());
        }
        let placement = Rc::new(self.compute_placement(database)?);
        let mut known = self.homes.placements.borrow_mut();
        known.insert(database.clone(), placement.clone());
        Some(placement)
    }

    fn compute_placement(&self, database: &DatabaseName) -> Option<Placement> {
        let Announcement {
            group, zone, slots, ..
        } = {
            let directory = self.directory.borrow();
            directory.member(database)?.announcement.clone()
        };
        let routes = self.cx.routes();
        let limits = routes.groups.get(&group);
        let total_limit = limits.map_or(DEFAULT_CONNECTION_LIMIT, |limits| limits.connection_limit);
        let nodes = self.membership.node_count();
        let sharing = Sharing::of(total_limit, nodes, slots);
        let everyone = matches!(sharing, Sharing::Everyone(_));
        let count = sharing.homes(nodes);
        let sender_count = cold_senders(&self.cx, &group);
        let locality = self.cx.settings.locality(&zone);
        let own = &self.cx.settings.node.name;
        let nodes = self.membership.nodes();
        let candidates = nodes.values().map(|node| node.candidate());
        let wanted = match everyone {
            true => sender_count,
            false => sender_count.max(count + STAND_IN_COUNT),
        };
        let ranking = Ranking::of(database, &locality, candidates, wanted);
        let ranked: Vec<&NodeName> = ranking.nodes().iter().collect();
        let cold_senders = &ranked[..sender_count.min(ranked.len())];
        let (homes, others) = match everyone {
            true => ranked.split_at(0),
            false => ranked.split_at(count.min(ranked.len())),
        };
        let stand_ins: Vec<&NodeName> = match everyone {
            true => Vec::new(),
            false => others.iter().take(STAND_IN_COUNT).copied().collect(),
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
        Some(Placement {
            is_home,
            connection_limit: total_limit,
            slots,
            sharing,
            homes: others(ordered),
            stand_ins: others(stand_ins),
            cold_senders: others(placement::preference(own, cold_senders)),
            may_send_cold: cold_senders.contains(&own),
            ranking,
        })
    }
}
