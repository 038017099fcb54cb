//! Load pattern: the failover coordinator is lost with half of a large fleet, or the whole fleet starts. Beyond the 38th
//! rank all nodes waited equally long, and nodes that didn't know the others, too: at the start of 985 nodes all of them
//! campaigned at the same moment, about 3,000 calls to the store for one duty.

use std::time::Duration;

use dyketally::failover::{CampaignRank, campaign_delay};
use dyketally::identifiers::{Locality, NodeName};
use dyketally::placement::{Candidate, LinkClass, NORMAL_WEIGHT, duty_order};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Time from a campaign until the other nodes know that it was won.
const KNOWN_AFTER: Duration = Duration::from_millis(250);
const FLEETS: u64 = 200;

/// How many campaigns begin before the first one is known, and when the first one begins.
fn campaigns(mut delays: Vec<Duration>) -> (usize, Duration) {
    delays.sort();
    let first = delays[0];
    let begun = delays.iter().filter(|delay| **delay < first + KNOWN_AFTER);
    (begun.count(), first)
}

#[rstest]
#[case(250)]
#[case(1_000)]
#[case(2_000)]
fn few_nodes_campaign_at_once_when_the_first_ones_are_lost(#[case] nodes: usize) {
    let alive = (0..nodes).filter(|rank| rank % 20 >= 11 || *rank >= 60);
    let delays = alive.map(|rank| campaign_delay(CampaignRank::Known(rank), 0.5));
    let (campaigns, first) = campaigns(delays.collect());
    assert!(campaigns <= 7, "{campaigns} campaigns of {nodes} nodes");
    assert!(first < Duration::from_millis(500), "{first:?}");
}

#[rstest]
#[case(13)]
#[case(250)]
#[case(1_000)]
#[case(2_000)]
fn few_nodes_campaign_at_once_when_none_knows_the_others(#[case] nodes: usize) {
    let mut all = 0;
    for seed in 0..FLEETS {
        let mut random = StdRng::seed_from_u64(seed);
        let rank = CampaignRank::Unknown { small_link: false };
        let delays = (0..nodes).map(|_| campaign_delay(rank, random.random_range(0.0..1.0)));
        let (campaigns, first) = campaigns(delays.collect());
        assert!(first < Duration::from_millis(1_600), "{first:?}");
        all += campaigns;
    }
    let mean = all as f64 / FLEETS as f64;
    assert!(mean <= 8.0, "{mean} campaigns of {nodes} nodes in the mean");
}

#[test]
fn nodes_with_great_links_campaign_first() {
    let names: Vec<NodeName> = (0..100)
        .map(|it| NodeName::new(format!("node-{it}")))
        .collect();
    let locality = Locality {
        region: "region".into(),
        zone: "zone".into(),
    };
    let megabits = |place: usize| {
        if place.is_multiple_of(10) {
            1_000.0
        } else {
            20.0
        }
    };
    let candidates = names.iter().enumerate().map(|(place, node)| Candidate {
        node,
        locality: &locality,
        weight: NORMAL_WEIGHT,
        leaving: false,
        link: LinkClass::of_megabits(megabits(place)),
    });
    let order = duty_order("duty", candidates);
    let great = names.iter().step_by(10);
    let mut first: Vec<&NodeName> = order[..10].to_vec();
    first.sort();
    let mut expected: Vec<&NodeName> = great.collect();
    expected.sort();
    assert_eq!(first, expected);
    assert_eq!(order.len(), names.len());
}
