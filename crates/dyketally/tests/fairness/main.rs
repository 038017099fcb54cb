//! Fairness of the queue in simulated runs: shares, starvation, and the lending of idle shares.

mod simulation;

use std::time::Duration;

use dyketally::admission::MAX_SLOT_TIME_CREDIT;
use dyketally::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;
use simulation::engine;
use simulation::fair::FairAtHome;
use simulation::measures::{Measures, jain};
use simulation::workload::{Arrivals, ServiceTimes, TenantLoad, generate};

const LENGTH: Duration = Duration::from_secs(12);
const WINDOW: (Timestamp, Timestamp) = (
    Timestamp::from_millis(2_000),
    Timestamp::from_millis(10_000),
);

fn load(name: &str, weight: u32, service: ServiceTimes, demand: f64) -> TenantLoad {
    let load = TenantLoad {
        name: name.to_owned(),
        weight,
        queue_limit: 1_000,
        arrivals: Arrivals::Random { per_second: 1.0 },
        service,
        deadline: Duration::from_secs(60),
    };
    load.with_demand(demand)
}

fn milliseconds(short: u64, long: u64, percent_long: u32) -> ServiceTimes {
    ServiceTimes {
        short: Duration::from_millis(short),
        long: Duration::from_millis(long),
        percent_long,
    }
}

fn simulate(loads: &[TenantLoad], slots: u32, seed: u64) -> Measures {
    let jobs = generate(loads, LENGTH, seed);
    let measures = Measures::new(loads.len(), slots, WINDOW);
    engine::run(FairAtHome::new(slots, loads), &jobs, measures)
}

#[rstest]
#[case::equal_weights([1, 1, 1, 1])]
#[case::different_weights([1, 2, 3, 4])]
fn backlogged_tenants_share_slot_time_by_weight(
    #[case] weights: [u32; 4],
    #[values(5, 10)] slots: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let services = [
        milliseconds(1, 1, 0),
        milliseconds(5, 50, 10),
        milliseconds(2, 200, 5),
        milliseconds(20, 40, 50),
    ];
    let demand = f64::from(slots) * 2.0;
    let loads: Vec<TenantLoad> = (0..4)
        .map(|i| load(&format!("tenant-{i}"), weights[i], services[i], demand))
        .collect();
    let measures = simulate(&loads, slots, seed);
    let by_weight = (0..4).map(|i| measures.tenants[i].busy.as_secs_f64() / f64::from(weights[i]));
    let by_weight: Vec<f64> = by_weight.collect();
    let index = jain(&by_weight);
    assert!(index >= 0.98, "seed {seed}: {index} of {by_weight:?}");
    assert!(measures.utilisation() > 0.999, "{}", measures.utilisation());
}

#[rstest]
fn an_idle_share_is_lent_at_once(#[values(1, 2, 3)] seed: u64) {
    let flood = load("flood", 1, milliseconds(5, 50, 10), 20.0);
    let idle = load("idle", 9, milliseconds(5, 5, 0), 0.01);
    let measures = simulate(&[flood, idle], 5, seed);
    let busy = measures.tenants[0].busy.as_secs_f64();
    let offered = WINDOW.1.saturating_since(WINDOW.0).as_secs_f64() * 5.0;
    let unused = offered - busy - measures.tenants[1].busy.as_secs_f64();
    assert!(
        unused.abs() < 1e-6,
        "seed {seed}: {unused} s of slot time unused"
    );
}

/// A tenant whose statements come one at a time, against tenants (`rivals`) that always have statements queued.
#[derive(Clone, Debug)]
struct Contest {
    slots: u32,
    rivals: Vec<ServiceTimes>,
    longest: Duration,
    seed: u64,
}

fn contest() -> impl Strategy<Value = Contest> {
    let service = (1_u64..10, 1_u64..60, 0_u32..100);
    let rivals = prop::collection::vec(service, 1..10);
    (1_u32..6, rivals, any::<u64>()).prop_map(|(slots, rivals, seed)| Contest {
        slots,
        longest: Duration::from_millis(60),
        rivals: rivals
            .into_iter()
            .map(|(short, long, percent)| milliseconds(short, long, percent))
            .collect(),
        seed,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn a_tenant_within_its_share_waits_a_bounded_time(contest in contest()) {
        let rivals = contest.rivals.len() as u32;
        let demand = f64::from(contest.slots) * 2.0;
        let mut loads: Vec<TenantLoad> = contest
            .rivals
            .iter()
            .enumerate()
            .map(|(i, service)| load(&format!("rival-{i}"), 1, *service, demand))
            .collect();
        let mut victim = load("victim", 1, milliseconds(1, 1, 0), 0.1);
        victim.arrivals = Arrivals::Bursts { every: Duration::from_millis(500), size: 1 };
        loads.push(victim);
        let measures = simulate(&loads, contest.slots, contest.seed);
        let victim = &measures.tenants[rivals as usize];
        prop_assert_eq!(victim.waits.len(), victim.sent);
        // Slot time before the victim's turn: the running statements, one statement of each rival, and the credit that
        // each rival has saved up.
        let before = contest.longest * (contest.slots + rivals) + MAX_SLOT_TIME_CREDIT * rivals;
        let bound = before / contest.slots + contest.longest;
        let longest = victim.waits.iter().max().copied().unwrap_or_default();
        prop_assert!(longest <= bound, "{:?} exceeds {:?}", longest, bound);
    }
}
