//! Placement: the order of nodes, the homes that move when a node joins or leaves, relays, and shares of connections.

use dyketally::identifiers::{DatabaseName, Locality, NodeName, TenantName};
use dyketally::placement::{
    Candidate, LinkClass, NORMAL_WEIGHT, Sharing, accountants, home, preference, preference_for,
    rank, relays,
};
use rstest::rstest;

const ZONES: usize = 6;
const ZONES_PER_REGION: usize = 2;

#[derive(Clone)]
struct Node {
    name: NodeName,
    locality: Locality,
    weight: u16,
    leaving: bool,
    link: LinkClass,
}

impl Node {
    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            node: &self.name,
            locality: &self.locality,
            weight: self.weight,
            leaving: self.leaving,
            link: self.link,
        }
    }
}

fn zone(number: usize) -> Locality {
    let number = number % ZONES;
    Locality {
        region: format!("region-{}", number / ZONES_PER_REGION)
            .as_str()
            .into(),
        zone: format!("zone-{number}").as_str().into(),
    }
}

fn node(number: usize) -> Node {
    Node {
        name: format!("node-{number}").as_str().into(),
        locality: zone(number),
        weight: NORMAL_WEIGHT,
        leaving: false,
        link: LinkClass::default(),
    }
}

fn databases(count: usize) -> Vec<(DatabaseName, Locality)> {
    (0..count)
        .map(|number| (format!("db-{number}").as_str().into(), zone(number)))
        .collect()
}

fn homes(databases: &[(DatabaseName, Locality)], nodes: &[Node]) -> Vec<NodeName> {
    let home_of = |(database, locality): &(DatabaseName, Locality)| {
        home(database, locality, nodes.iter().map(Node::candidate)).cloned()
    };
    databases.iter().filter_map(home_of).collect()
}

/// The number of databases whose home differs, and how many of them moved neither from nor to the node `changed`.
fn moved(before: &[NodeName], after: &[NodeName], changed: &NodeName) -> (usize, usize) {
    let pairs: Vec<_> = before.iter().zip(after).filter(|(b, a)| b != a).collect();
    let needless = pairs.iter().filter(|(b, a)| *b != changed && *a != changed);
    (pairs.len(), needless.count())
}

#[rstest]
#[case::small(12, 600, 1)]
#[case::full_size(610, 670, 10)]
fn a_change_moves_only_the_changed_nodes_databases(
    #[case] nodes: usize,
    #[case] count: usize,
    #[case] step: usize,
) {
    let databases = databases(count);
    let all: Vec<_> = (0..nodes).map(node).collect();
    let before = homes(&databases, &all);
    let mut most_moved = 0;
    // A joining node is the same change in reverse.
    for left in (0..nodes).step_by(step) {
        let mut remaining = all.clone();
        let gone = remaining.remove(left);
        let after = homes(&databases, &remaining);
        let (moved, needless) = moved(&before, &after, &gone.name);
        let own = before.iter().filter(|home| **home == gone.name).count();
        assert_eq!(
            needless, 0,
            "a database of another node moved when {left} left"
        );
        assert_eq!(moved, own);
        most_moved = most_moved.max(moved);
    }
    let share = most_moved as f64 / count as f64;
    println!(
        "at most {most_moved} of {count} databases moved ({:.2}%)",
        share * 100.0
    );
}

#[test]
fn a_leaving_node_moves_only_its_own_databases() {
    let databases = databases(670);
    let mut nodes: Vec<_> = (0..61).map(node).collect();
    let before = homes(&databases, &nodes);
    nodes[7].leaving = true;
    let after = homes(&databases, &nodes);
    let (moved, needless) = moved(&before, &after, &nodes[7].name);
    assert_eq!(needless, 0);
    assert_eq!(
        moved,
        before.iter().filter(|home| **home == nodes[7].name).count()
    );
    assert!(!after.contains(&nodes[7].name));
}

#[test]
fn nodes_are_ranked_by_zone_then_region_and_leaving_last() {
    let mut nodes: Vec<_> = (0..24).map(node).collect();
    nodes[6].leaving = true;
    let ranked = rank(
        &"db-0".into(),
        &zone(0),
        nodes.iter().map(Node::candidate),
        24,
    );
    let place = |name: &NodeName| {
        let node = nodes
            .iter()
            .find(|node| node.name == *name)
            .expect("ranked");
        let same_zone = node.locality == zone(0);
        let same_region = node.locality.region == zone(0).region;
        (node.leaving, !same_zone, !same_region)
    };
    let places: Vec<_> = ranked.iter().map(|name| place(name)).collect();
    assert!(places.is_sorted(), "{ranked:?}");
    assert_eq!(ranked.len(), 24);
    assert_eq!(ranked[0], &homes(&[("db-0".into(), zone(0))], &nodes)[0]);
}

#[test]
fn weights_set_the_shares() {
    let databases = databases(6_000);
    let mut nodes: Vec<_> = (0..12).map(node).collect();
    nodes[0].weight = 3 * NORMAL_WEIGHT;
    nodes[1].weight = 0;
    let homes = homes(&databases, &nodes);
    let share = |node: &Node| homes.iter().filter(|home| **home == node.name).count();
    // Zone 0 holds nodes 0 and 6 and 1,000 databases. With weights of 3 to 1, node 0 gets 750 within five standard
    // deviations.
    assert!(
        (680..=820).contains(&share(&nodes[0])),
        "{}",
        share(&nodes[0])
    );
    assert_eq!(share(&nodes[1]), 0);
    assert_eq!(share(&nodes[7]), 1_000);
}

#[rstest]
#[case::plenty(60, 3)]
#[case::fewer_nodes_than_relays(6, 1)]
fn relays_are_of_the_zone(#[case] count: usize, #[case] expected: usize) {
    let nodes: Vec<_> = (0..count).map(node).collect();
    for number in 0..ZONES {
        let relays = relays(&zone(number), nodes.iter().map(Node::candidate), 3);
        assert_eq!(relays.len(), expected);
        let of_zone = |name: &&&NodeName| {
            nodes
                .iter()
                .any(|n| n.name == ***name && n.locality == zone(number))
        };
        assert_eq!(relays.iter().filter(of_zone).count(), expected);
    }
}

/// Relays on the thinnest links of their zone needed about 1 s to pass on each change of a large configuration, while
/// nodes on links of 200 Mbit/s were among their followers.
#[test]
fn nodes_with_large_links_are_relays_first() {
    let mut nodes: Vec<_> = (0..60).map(node).collect();
    // Zone 0 holds nodes 0, 6, 12 and so on.
    for (number, megabits) in [(6, 200.0), (18, 200.0), (30, 100.0)] {
        nodes[number].link = LinkClass::of_megabits(megabits);
    }
    let chosen = |nodes: &[Node], count| -> Vec<NodeName> {
        let candidates = nodes.iter().map(Node::candidate);
        relays(&zone(0), candidates, count)
            .into_iter()
            .cloned()
            .collect()
    };
    let mut first = chosen(&nodes, 3);
    first.sort();
    let expected: Vec<NodeName> = [18, 30, 6].map(|number| nodes[number].name.clone()).into();
    assert_eq!(first, expected);
    nodes[6].leaving = true;
    assert!(!chosen(&nodes, 3).contains(&nodes[6].name));
    // Links don't influence the choice of homes.
    let plain: Vec<_> = (0..60).map(node).collect();
    let databases = databases(100);
    nodes[6].leaving = false;
    assert_eq!(homes(&databases, &nodes), homes(&databases, &plain));
}

#[rstest]
#[case::half_as_much_again(100.0, 150.0)]
#[case::zero_and_one_megabit(0.0, 1.0)]
fn links_of_similar_size_are_of_one_class(#[case] one: f64, #[case] other: f64) {
    assert_eq!(LinkClass::of_megabits(one), LinkClass::of_megabits(other));
}

#[rstest]
#[case(10.0, 100.0)]
#[case(2.0, 10.0)]
#[case(200.0, 1_000.0)]
fn links_that_carry_several_times_as_much_are_of_a_higher_class(
    #[case] less: f64,
    #[case] more: f64,
) {
    assert!(LinkClass::of_megabits(less) < LinkClass::of_megabits(more));
}

#[test]
fn without_candidates_there_is_no_home() {
    assert_eq!(home(&"db-0".into(), &zone(0), []), None);
    assert!(rank(&"db-0".into(), &zone(0), [], 3).is_empty());
}

/// So many slots that the connections alone limit the number of homes.
const MANY_SLOTS: u32 = 1_000;

#[rstest]
#[case::few_nodes(36, 7, Sharing::Everyone(4))]
#[case::ample(50, 6, Sharing::Everyone(7))]
#[case::alone(3, 1, Sharing::Everyone(2))]
#[case::a_pair_never_needs_a_home(4, 2, Sharing::Everyone(1))]
#[case::just_too_few(36, 9, Sharing::Homes { count: 2, each: 16 })]
#[case::seventy_nodes(40, 73, Sharing::Homes { count: 3, each: 12 })]
#[case::design_size(100, 610, Sharing::Homes { count: 7, each: 12 })]
#[case::few_connections(5, 100, Sharing::Homes { count: 1, each: 4 })]
#[case::none_at_all(0, 100, Sharing::Homes { count: 1, each: 1 })]
fn connections_are_divided_among_nodes(
    #[case] granted: u32,
    #[case] nodes: usize,
    #[case] expected: Sharing,
) {
    assert_eq!(Sharing::of(granted, nodes, MANY_SLOTS), expected);
}

#[rstest]
#[case::as_many_homes_as_slots(428, 985, 3, Sharing::Homes { count: 3, each: 128 })]
#[case::twice_the_nodes(428, 1_970, 3, Sharing::Homes { count: 3, each: 128 })]
#[case::two_homes_for_one_slot(428, 985, 1, Sharing::Homes { count: 2, each: 192 })]
#[case::fewer_connections_than_slots_need(36, 200, 8, Sharing::Homes { count: 2, each: 16 })]
#[case::every_node_has_enough(428, 90, 3, Sharing::Everyone(4))]
fn a_database_has_no_more_homes_than_slots(
    #[case] granted: u32,
    #[case] nodes: usize,
    #[case] slots: u32,
    #[case] expected: Sharing,
) {
    assert_eq!(Sharing::of(granted, nodes, slots), expected);
}

/// The homes together never have more connections than are granted. Nodes that reach no home may open a few more.
#[test]
fn shares_never_exceed_the_granted_connections() {
    for granted in 3..200 {
        for nodes in 1..300 {
            let sharing = Sharing::of(granted, nodes, MANY_SLOTS);
            let homes = sharing.homes(nodes) as u32;
            let used = homes * sharing.limit(true);
            assert!(used <= granted, "{granted} for {nodes}: {sharing:?}");
            assert!(sharing.limit(true) >= 1);
            assert!(homes >= 1 && homes as usize <= nodes);
        }
    }
}

#[test]
fn nodes_spread_over_the_homes() {
    let homes: Vec<NodeName> = (0..3)
        .map(|it| format!("home-{it}").as_str().into())
        .collect();
    let homes: Vec<&NodeName> = homes.iter().collect();
    let mut first = std::collections::HashMap::new();
    for number in 0..300 {
        let node: NodeName = format!("node-{number}").as_str().into();
        let order = preference(&node, &homes);
        assert_eq!(order, preference(&node, &homes));
        assert_eq!(order.len(), homes.len());
        *first.entry(order[0].clone()).or_insert(0) += 1;
    }
    assert!(
        first.values().all(|count| (70..130).contains(count)),
        "{first:?}"
    );
}

fn tenants(count: usize) -> Vec<TenantName> {
    let names = (0..count).map(|number| format!("tenant-{number}"));
    names.map(|name| TenantName::from(name.as_str())).collect()
}

#[test]
fn all_nodes_ask_the_same_homes_for_a_tenant_and_tenants_spread_over_them() {
    let names: Vec<NodeName> = (0..3).map(|number| node(number).name).collect();
    let homes: Vec<&NodeName> = names.iter().collect();
    let reversed: Vec<&NodeName> = names.iter().rev().collect();
    let mut first = [0; 3];
    for tenant in tenants(300) {
        let ordered = preference_for(&tenant, &homes);
        assert_eq!(ordered, preference_for(&tenant, &reversed));
        let index = names.iter().position(|name| name == ordered[0]);
        first[index.expect("one of the homes")] += 1;
    }
    assert!(
        first.iter().all(|count| (70..130).contains(count)),
        "{first:?}"
    );
}

#[test]
fn the_next_accountant_takes_over_from_a_lost_one() {
    let nodes: Vec<Node> = (0..20).map(node).collect();
    for tenant in tenants(50) {
        let candidates = || nodes.iter().map(Node::candidate);
        let ranked = accountants(&tenant, candidates(), 3);
        let others = candidates().filter(|candidate| candidate.node != ranked[0]);
        assert_eq!(accountants(&tenant, others, 2), ranked[1..]);
    }
}
