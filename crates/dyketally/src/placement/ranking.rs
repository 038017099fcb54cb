//! The first nodes for a database, kept while the set of nodes changes.
//!
//! A change of one node alters few rankings. To rank all nodes for each database after each change would cost the
//! product of nodes, databases and changes.

use crate::identifiers::{DatabaseName, Locality, NodeName};

use super::score::{Key, Score};
use super::tier::Tier;
use super::{Candidate, Ranked, rank_for, takes_databases};

/// The first nodes for a database, best first, and what tells whether a change of the nodes alters them.
#[derive(Clone, Debug)]
pub struct Ranking {
    nodes: Vec<NodeName>,
    /// How many nodes are ranked at most.
    count: usize,
    key: Key,
    locality: Locality,
    /// The last of `nodes`, as it is compared with others.
    last: Option<LastRank>,
}

/// The place of the last node of a ranking.
#[derive(Clone, Debug)]
struct LastRank {
    node: NodeName,
    tier: Tier,
    score: Score,
}

impl Ranking {
    /// Ranks the first `count` of `candidates` for `database`, which runs at `locality`.
    pub fn of<'a>(
        database: &DatabaseName,
        locality: &Locality,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
        count: usize,
    ) -> Self {
        let key = Key::of_database(database);
        let first = rank_for(key, locality, candidates, count);
        let last = first.last().map(|last| LastRank {
            node: last.node.clone(),
            tier: last.tier,
            score: last.score,
        });
        Self {
            nodes: first.iter().map(|ranked| ranked.node.clone()).collect(),
            count,
            key,
            locality: locality.clone(),
            last,
        }
    }

    /// The ranked nodes, best first.
    pub fn nodes(&self) -> &[NodeName] {
        &self.nodes
    }

    /// True when `joined`, which isn't ranked, would be ranked.
    pub fn is_altered_by_join(&self, joined: Candidate<'_>) -> bool {
        if !takes_databases(&joined) || self.count == 0 {
            return false;
        }
        let Some(last) = self
            .last
            .as_ref()
            .filter(|_| self.nodes.len() >= self.count)
        else {
            return true;
        };
        let last = Ranked {
            node: &last.node,
            tier: last.tier,
            link: Default::default(),
            score: last.score,
        };
        Ranked::of_database(joined, &self.locality, self.key).comes_before(&last)
    }

    /// True when `left` is ranked, so that another node takes its place.
    pub fn is_altered_by_leave(&self, left: &NodeName) -> bool {
        self.nodes.contains(left)
    }
}
