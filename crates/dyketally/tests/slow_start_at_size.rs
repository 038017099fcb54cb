//! Slow start at the design size: 610 nodes and 670 databases, of which 200 are cold at once.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::identifiers::{DatabaseName, Locality, NodeName, RegionName, ZoneName};
use dyketally::placement::{self, Candidate, LinkClass, NORMAL_WEIGHT};
use dyketally::route_policy::SlowStart;
use dyketally::slow_start::{Budget, Margin, Pace, Throttle};
use dyketally::tenant::OperationRate;
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const NODES: usize = 610;
const DATABASES: usize = 670;
const COLD: usize = 200;
const ZONES: usize = 6;
const RATE: u32 = 20;
/// Load that callers offer to each cold database, in requests a second.
const OFFERED: f64 = 30.0;
const MARGIN: Margin = Margin {
    overrun: 1.5,
    slack: 5.0,
};
const COLD_FOR: Duration = Duration::from_secs(15);
const STEP_MS: u64 = 10;
/// When the databases become cold, and when they are warm again, in milliseconds.
const COLD_MS: std::ops::Range<u64> = 10_000..25_000;
/// When one node in ten is lost, in milliseconds.
const LOST_MS: u64 = 14_000;
/// When the other nodes' lists no longer hold the lost nodes, in milliseconds.
const DELISTED_MS: u64 = 20_000;

fn zone(number: usize) -> Locality {
    Locality {
        region: RegionName::new(format!("region-{}", number / 2)),
        zone: ZoneName::new(format!("zone-{number}")),
    }
}

/// The holders of a database among the nodes that are listed.
fn holders(database: usize, listed: &[(usize, NodeName, Locality)]) -> Vec<usize> {
    let name = DatabaseName::new(format!("database-{database}"));
    let candidates = listed.iter().map(|(_, node, locality)| Candidate {
        node,
        locality,
        weight: NORMAL_WEIGHT,
        leaving: false,
        link: LinkClass::default(),
    });
    let count = Budget::for_rate(OperationRate::per_second(RATE), MARGIN).holders;
    let ranked = placement::rank(&name, &zone(database % ZONES), candidates, count);
    let index = |name: &NodeName| listed.iter().find(|(_, node, _)| node == name);
    let found = ranked.into_iter().filter_map(index);
    found.map(|(index, ..)| *index).collect()
}

fn throttle(cold: bool) -> Throttle {
    let mut throttle = Throttle::default();
    let rate = OperationRate::per_second(RATE);
    throttle.set_rule(
        Some(SlowStart {
            rate,
            cold_for: COLD_FOR,
        }),
        MARGIN,
    );
    throttle
        .cold_state()
        .record_announcement(Timestamp::ZERO, Duration::ZERO);
    if cold {
        let at = Timestamp::from_millis(COLD_MS.start);
        throttle.cold_state().record_announcement(at, COLD_FOR);
    }
    throttle
}

struct Results {
    /// Most requests to one database within 1 s of any request to it.
    most: u32,
    /// Requests that callers offered, by second.
    offered: [u32; 15],
    /// Requests that holders sent to the databases, by second.
    granted: [u32; 15],
    /// Requests that a node handed over to a holder, by second, with repetitions.
    hand_overs: [u32; 15],
}

fn play() -> Results {
    let mut rng = StdRng::seed_from_u64(3);
    let all: Vec<(usize, NodeName, Locality)> = (0..NODES)
        .map(|node| {
            (
                node,
                NodeName::new(format!("node-{node}")),
                zone(node % ZONES),
            )
        })
        .collect();
    let lost = |node: usize| node % 10 == 3;
    let left: Vec<_> = all.iter().filter(|it| !lost(it.0)).cloned().collect();
    let mut holding: Vec<Vec<usize>> = (0..COLD).map(|it| holders(it, &all)).collect();
    let mut throttles: BTreeMap<(usize, usize), Throttle> = BTreeMap::new();
    for (database, holding) in holding.iter().enumerate() {
        for node in holding {
            let throttle = throttles
                .entry((database, *node))
                .or_insert_with(|| throttle(true));
            throttle.set_holder(Timestamp::ZERO, true);
        }
    }
    let mut results = Results {
        most: 0,
        offered: [0; 15],
        granted: [0; 15],
        hand_overs: [0; 15],
    };
    let mut arrivals: Vec<Vec<u64>> = vec![Vec::new(); COLD];
    for now_ms in COLD_MS.step_by(STEP_MS as usize) {
        let now = Timestamp::from_millis(now_ms);
        let second = ((now_ms - COLD_MS.start) / 1_000) as usize;
        if now_ms == DELISTED_MS {
            holding = (0..COLD).map(|it| holders(it, &left)).collect();
            for (database, holding) in holding.iter().enumerate() {
                for node in holding {
                    let throttle = throttles
                        .entry((database, *node))
                        .or_insert_with(|| throttle(true));
                    throttle.set_holder(now, true);
                }
            }
        }
        for database in 0..COLD {
            if !rng.random_bool(OFFERED * STEP_MS as f64 / 1_000.0) {
                continue;
            }
            let Some((requester, ..)) = left.choose(&mut rng) else {
                continue;
            };
            results.offered[second] += 1;
            // Each node starts with a different holder, and tries the next one when a holder refuses.
            let first = requester % holding[database].len();
            let mut order = holding[database].clone();
            order.rotate_left(first);
            for node in order {
                if lost(node) && now_ms >= LOST_MS {
                    continue;
                }
                results.hand_overs[second] += u32::from(node != *requester);
                let Some(throttle) = throttles.get_mut(&(database, node)) else {
                    continue;
                };
                if throttle.pace(now, Some(now)) == Pace::After(Duration::ZERO) {
                    throttle.record_sent(now, 1);
                    arrivals[database].push(now_ms);
                    results.granted[second] += 1;
                    break;
                }
            }
        }
    }
    for arrivals in &arrivals {
        for (index, first) in arrivals.iter().enumerate() {
            let within = arrivals[index..]
                .iter()
                .take_while(|at| **at <= first + 1_000);
            results.most = results.most.max(within.count() as u32);
        }
    }
    results
}

#[test]
fn no_cold_database_of_many_exceeds_its_limit() {
    let results = play();
    println!(
        "{NODES} nodes, {DATABASES} databases, {COLD} cold: most {}",
        results.most
    );
    for second in 0..15 {
        println!(
            "second {second}: offered {}, granted {}, handed over {}",
            results.offered[second], results.granted[second], results.hand_overs[second]
        );
    }
    assert!(f64::from(results.most) <= f64::from(RATE) * MARGIN.overrun + MARGIN.slack);
    // While all holders run, little of the rate is left unused.
    let rate = f64::from(RATE) * COLD as f64;
    let used = f64::from(results.granted[2]) / rate;
    assert!(used > 0.8, "{used} of the rate was used");
}
