//! Load pattern: nodes join and leave while each node keeps the placements of the databases that it uses. All placements
//! were computed anew after each change, each by ranking all nodes: the work of the fleet grew with the cube of its size.

use dyketally::identifiers::{DatabaseName, Locality, NodeName};
use dyketally::placement::{Candidate, LinkClass, NORMAL_WEIGHT, Ranking};

const ZONES: usize = 6;
const DATABASES: usize = 600;
/// Homes of a database and its stand-in.
const RANKED: usize = 5;
const CHANGES: usize = 12;

struct Fleet {
    nodes: Vec<(NodeName, Locality)>,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        Self {
            nodes: (0..nodes).map(node).collect(),
        }
    }

    fn candidates(&self) -> impl Iterator<Item = Candidate<'_>> {
        self.nodes.iter().map(candidate)
    }

    fn rank(&self, database: usize) -> Ranking {
        let name = DatabaseName::new(format!("database-{database}"));
        Ranking::of(&name, &zone(database), self.candidates(), RANKED)
    }
}

fn node(number: usize) -> (NodeName, Locality) {
    (NodeName::new(format!("node-{number}")), zone(number))
}

fn zone(number: usize) -> Locality {
    let zone = number % ZONES;
    Locality {
        region: format!("region-{}", zone / 2).as_str().into(),
        zone: format!("zone-{zone}").as_str().into(),
    }
}

fn candidate((node, locality): &(NodeName, Locality)) -> Candidate<'_> {
    Candidate {
        node,
        locality,
        weight: NORMAL_WEIGHT,
        leaving: false,
        link: LinkClass::default(),
    }
}

/// How many rankings [`CHANGES`] departures and as many arrivals alter in a fleet of `nodes` nodes. Each ranking that
/// isn't altered is compared with a new one.
fn altered_rankings(nodes: usize) -> usize {
    let mut fleet = Fleet::new(nodes);
    let mut rankings: Vec<Ranking> = (0..DATABASES).map(|it| fleet.rank(it)).collect();
    let mut altered = 0;
    for change in 0..CHANGES {
        let left = fleet.nodes.remove(change * 7 % fleet.nodes.len());
        for (database, ranking) in rankings.iter_mut().enumerate() {
            let is_altered = ranking.is_altered_by_leave(&left.0);
            altered += replace(ranking, is_altered, || fleet.rank(database));
        }
        let joined = node(nodes + change);
        fleet.nodes.push(joined.clone());
        for (database, ranking) in rankings.iter_mut().enumerate() {
            let is_altered = ranking.is_altered_by_join(candidate(&joined));
            altered += replace(ranking, is_altered, || fleet.rank(database));
        }
    }
    altered
}

fn replace(ranking: &mut Ranking, is_altered: bool, anew: impl Fn() -> Ranking) -> usize {
    let expected = anew();
    assert_eq!(ranking.nodes() != expected.nodes(), is_altered);
    *ranking = expected;
    usize::from(is_altered)
}

#[test]
fn a_change_of_one_node_alters_fewer_rankings_the_more_nodes_there_are() {
    for nodes in [250, 1_000, 2_000] {
        let altered = altered_rankings(nodes);
        // Each of the changes alters the rankings that the node is in: a share of RANKED / nodes of all.
        let expected = 2 * CHANGES * DATABASES * RANKED / nodes;
        assert!(
            altered <= 2 * expected,
            "{altered} of {} rankings altered at {nodes} nodes, about {expected} expected",
            2 * CHANGES * DATABASES
        );
    }
}

#[test]
fn a_ranking_with_too_few_nodes_takes_each_one_that_joins() {
    let fleet = Fleet::new(RANKED - 1);
    let ranking = fleet.rank(0);
    assert!(ranking.is_altered_by_join(candidate(&node(RANKED))));
}
