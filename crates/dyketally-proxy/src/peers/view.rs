//! The members as the rest of the daemon reads them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use dyketally::identifiers::{DatabaseName, Locality, NodeName};
use dyketally::membership::Member;
use dyketally::placement::{Candidate, LinkClass, RELAYS_PER_ZONE, home, rank, relays};

/// All members at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// All members that are known, dead ones included.
    pub members: Arc<[Member]>,
    /// Those that work may be sent to.
    pub live: Arc<LiveNodes>,
}

impl View {
    /// The view of `members`. Takes over the live nodes of `previous` when they are the same, and
    /// with them what was computed from them.
    pub(super) fn of(members: Vec<Member>, previous: Option<&View>) -> Self {
        let nodes: Vec<_> = members.iter().filter_map(LiveNode::of).collect();
        let unchanged = previous.filter(|view| view.live.nodes == nodes);
        let live = match unchanged {
            Some(view) => view.live.clone(),
            None => Arc::new(LiveNodes::new(nodes)),
        };
        Self {
            members: members.into(),
            live,
        }
    }

    /// The member of that name.
    pub fn member(&self, node: &NodeName) -> Option<&Member> {
        self.members.iter().find(|member| member.node == *node)
    }
}

/// A node that work may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveNode {
    /// The node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Its share of the databases relative to other nodes of its zone.
    pub weight: u16,
    /// It will leave.
    pub leaving: bool,
    /// Where it accepts links from other nodes (TCP).
    pub peers: SocketAddr,
}

impl LiveNode {
    fn of(member: &Member) -> Option<Self> {
        member.state.is_live().then(|| Self {
            node: member.node.clone(),
            locality: member.locality.clone(),
            weight: member.weight,
            leaving: member.leaving,
            peers: member.addresses.peers,
        })
    }

    /// The node as a candidate for placement.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            node: &self.node,
            locality: &self.locality,
            weight: self.weight,
            leaving: self.leaving,
            link: LinkClass::default(),
        }
    }
}

/// The live nodes, with the homes that were computed from them.
#[derive(Debug)]
pub struct LiveNodes {
    nodes: Vec<LiveNode>,
    homes: RwLock<HashMap<(DatabaseName, Locality), Option<LiveNode>>>,
}

impl LiveNodes {
    fn new(nodes: Vec<LiveNode>) -> Self {
        Self {
            nodes,
            homes: RwLock::default(),
        }
    }

    /// The nodes.
    pub fn nodes(&self) -> &[LiveNode] {
        &self.nodes
    }

    /// The home of `database`, which runs at `locality`; computed once for each set of live nodes.
    pub fn home(&self, database: &DatabaseName, locality: &Locality) -> Option<LiveNode> {
        let key = (database.clone(), locality.clone());
        let known = self.homes.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(home) = known.get(&key) {
            return home.clone();
        }
        drop(known);
        let found = home(database, locality, self.candidates());
        let found = found.and_then(|node| self.node(node)).cloned();
        let mut known = self.homes.write().unwrap_or_else(PoisonError::into_inner);
        known.insert(key, found.clone());
        found
    }

    /// The home of `database` and the nodes that would follow it, best first.
    pub fn rank(
        &self,
        database: &DatabaseName,
        locality: &Locality,
        count: usize,
    ) -> Vec<&LiveNode> {
        let names = rank(database, locality, self.candidates(), count);
        names
            .into_iter()
            .filter_map(|node| self.node(node))
            .collect()
    }

    /// The relays of the zone at `locality`.
    pub fn relays(&self, locality: &Locality) -> Vec<NodeName> {
        let relays = relays(locality, self.candidates(), RELAYS_PER_ZONE);
        relays.into_iter().cloned().collect()
    }

    /// Number of relays in all zones.
    pub fn count_relays(&self) -> u32 {
        let mut by_zone: HashMap<&Locality, usize> = HashMap::new();
        for node in &self.nodes {
            *by_zone.entry(&node.locality).or_default() += 1;
        }
        let relays = by_zone.values().map(|count| (*count).min(RELAYS_PER_ZONE));
        relays.sum::<usize>() as u32
    }

    fn candidates(&self) -> impl Iterator<Item = Candidate<'_>> {
        self.nodes.iter().map(LiveNode::candidate)
    }

    fn node(&self, name: &NodeName) -> Option<&LiveNode> {
        self.nodes.iter().find(|node| node.node == *name)
    }
}
