//! Placement: which live node is the home of a database, and which nodes are relays.
//!
//! Weighted rendezvous hashing: each node gets a score for each database, and the node with the
//! highest score is the home. A node that joins takes only the databases for which it scores
//! highest, and a node that leaves gives up only its own; no other database moves. Nodes compute
//! this from their own view of the members. Two nodes that disagree for a moment both act as the
//! home; the database's own connection limit bounds the two together.

mod link_class;
mod ranking;
mod score;
mod sharing;
mod tier;

use crate::identifiers::{DatabaseName, Locality, NodeName, TenantName};

pub use link_class::LinkClass;
pub use ranking::Ranking;
pub use sharing::Sharing;
pub use tier::Distance;

use score::{Key, Score};
use tier::Tier;

/// Usual number of relays in each zone: the `count` that callers pass to [`relays`].
pub const RELAYS_PER_ZONE: usize = 3;

/// The weight of a node that states none. Weights are relative to each other.
pub const NORMAL_WEIGHT: u16 = 100;

/// A live node that placement may select.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// Where it runs.
    pub locality: &'a Locality,
    /// Its share of the databases relative to other nodes of its zone; 0 to take none.
    pub weight: u16,
    /// The node has announced that it is leaving; it is selected only when no other node is available.
    pub leaving: bool,
    /// Capacity class of its link.
    pub link: LinkClass,
}

/// The home of `database`, which runs at `locality`; `None` when there is no candidate.
pub fn home<'a>(
    database: &DatabaseName,
    locality: &Locality,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Option<&'a NodeName> {
    let key = Key::of_database(database);
    let mut best: Option<Ranked<'a>> = None;
    for candidate in candidates.into_iter().filter(takes_databases) {
        let tier = Tier::of(&candidate, locality);
        if best.as_ref().is_some_and(|best| best.tier < tier) {
            continue;
        }
        let ranked = Ranked::new(candidate, tier, key);
        if best.as_ref().is_none_or(|best| ranked.comes_before(best)) {
            best = Some(ranked);
        }
    }
    best.map(|best| best.node)
}

/// The first `count` nodes for `database`, best first: the home, then the nodes that would take over
/// from it.
///
/// Nodes that stay come before nodes that leave; among these, nodes of the database's zone come
/// first, then nodes of its region, then all others.
pub fn rank<'a>(
    database: &DatabaseName,
    locality: &Locality,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<&'a NodeName> {
    let ranked = rank_for(Key::of_database(database), locality, candidates, count);
    ranked.iter().map(|entry| entry.node).collect()
}

/// The first `count` nodes for the database of `key`, with what they were compared by.
fn rank_for<'a>(
    key: Key,
    locality: &Locality,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<Ranked<'a>> {
    let ranked = candidates.into_iter().filter(takes_databases);
    let ranked = ranked.map(|candidate| Ranked::of_database(candidate, locality, key));
    best_first(ranked.collect(), count)
}

/// The order in which `node` tries `homes` for a connection. It differs from node to node, so that the
/// load is spread over the homes.
pub fn preference<'a>(node: &NodeName, homes: &[&'a NodeName]) -> Vec<&'a NodeName> {
    by_score(Key::of_node(node), homes)
}

/// The order in which every node tries `homes` for connections of `tenant`. It is the same at all nodes,
/// so that few homes keep connections of one tenant, and each home keeps those of few tenants.
pub fn preference_for<'a>(tenant: &TenantName, homes: &[&'a NodeName]) -> Vec<&'a NodeName> {
    by_score(Key::of_tenant(tenant), homes)
}

fn by_score<'a>(key: Key, homes: &[&'a NodeName]) -> Vec<&'a NodeName> {
    let mut ordered = homes.to_vec();
    ordered.sort_by(|one, other| {
        let score = |home: &NodeName| key.score(home, NORMAL_WEIGHT);
        score(other).cmp(&score(one))
    });
    ordered
}

/// The first `count` nodes for the quota of `tenant`, best first: the accountant, then the nodes that
/// would take over from it.
pub fn accountants<'a>(
    tenant: &TenantName,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<&'a NodeName> {
    let key = Key::of_tenant(tenant);
    let mut scored: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (key.score(candidate.node, candidate.weight), candidate.node))
        .collect();
    scored.sort_by(|one, other| other.0.cmp(&one.0).then_with(|| one.1.cmp(other.1)));
    scored.truncate(count);
    scored.into_iter().map(|(_, node)| node).collect()
}

/// The first `count` nodes of the zone at `locality` that watch the platform's service for the whole
/// zone. Nodes with the greatest link class come first: a relay receives each change from the service and
/// sends it to all nodes that subscribe to it.
pub fn relays<'a>(
    locality: &Locality,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<&'a NodeName> {
    let key = Key::of_relays(locality);
    let of_zone = candidates
        .into_iter()
        .filter(|candidate| candidate.locality == locality);
    let ranked = of_zone.map(|candidate| {
        let equal_weight = Candidate {
            weight: NORMAL_WEIGHT,
            ..candidate
        };
        let ranked = Ranked::new(equal_weight, Tier::of(&candidate, locality), key);
        Ranked {
            link: candidate.link,
            ..ranked
        }
    });
    let ranked = best_first(ranked.collect(), count);
    ranked.iter().map(|entry| entry.node).collect()
}

/// All `candidates` in the order in which they are to take the duty named `duty`: nodes with the greatest link class
/// first, as its holder sends messages to all nodes.
pub fn duty_order<'a>(
    duty: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Vec<&'a NodeName> {
    let key = Key::of_node(&NodeName::new(duty));
    let scored = candidates.into_iter().map(|candidate| {
        let score = key.score(candidate.node, NORMAL_WEIGHT);
        (candidate.link, score, candidate.node)
    });
    let mut scored: Vec<_> = scored.collect();
    scored.sort_by(|one, other| {
        let by_link = other.0.cmp(&one.0);
        by_link.then_with(|| other.1.cmp(&one.1))
    });
    scored.into_iter().map(|(_, _, node)| node).collect()
}

fn takes_databases(candidate: &Candidate<'_>) -> bool {
    candidate.weight > 0
}

/// The first `count` entries in order. Only these are sorted, not all.
fn best_first(mut ranked: Vec<Ranked<'_>>, count: usize) -> Vec<Ranked<'_>> {
    if count == 0 {
        return Vec::new();
    }
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count - 1, Ranked::order);
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(Ranked::order);
    ranked
}

struct Ranked<'a> {
    node: &'a NodeName,
    tier: Tier,
    /// Compared before the score; the default class in every ranking but that of relays.
    link: LinkClass,
    score: Score,
}

impl<'a> Ranked<'a> {
    fn new(candidate: Candidate<'a>, tier: Tier, key: Key) -> Self {
        Self {
            node: candidate.node,
            tier,
            link: LinkClass::default(),
            score: key.score(candidate.node, candidate.weight),
        }
    }

    fn of_database(candidate: Candidate<'a>, locality: &Locality, key: Key) -> Self {
        let tier = Tier::of(&candidate, locality);
        Self::new(candidate, tier, key)
    }

    fn order(&self, other: &Self) -> std::cmp::Ordering {
        let by_tier = self.tier.cmp(&other.tier);
        let by_link = || other.link.cmp(&self.link);
        let by_score = || other.score.cmp(&self.score);
        by_tier
            .then_with(by_link)
            .then_with(by_score)
            .then_with(|| self.node.cmp(other.node))
    }

    fn comes_before(&self, other: &Self) -> bool {
        self.order(other).is_lt()
    }
}
