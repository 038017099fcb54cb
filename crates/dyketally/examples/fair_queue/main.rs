//! Compares the fair queue at a database's home with other ways to divide its slots.
//!
//! One tenant floods, one is bursty, eight are steady and stay under their share; five slots.
//! Prints one table for each of three floods: short statements, long ones, and short ones that
//! all come through one proxy.

#[path = "../simulation/mod.rs"]
#[allow(dead_code, reason = "each example uses a part of the simulation")]
mod simulation;

use std::time::Duration;

use dyketally::time::Timestamp;
use simulation::by_count::ByCount;
use simulation::callers::Callers;
use simulation::discipline::Discipline;
use simulation::engine;
use simulation::fair::FairAtHome;
use simulation::first_come::FirstCome;
use simulation::measures::{Measures, percentile};
use simulation::shuffle_sharding::{Dealing, ShuffleSharding};
use simulation::workload::{Arrivals, ServiceTimes, TenantLoad, generate};

const SLOTS: u32 = 5;
const PROXIES: usize = 5;
const STEADY_TENANTS: usize = 8;
/// The flooding tenant's place in the workload.
const FLOOD: usize = 0;
const QUEUE_LIMIT: u32 = 100;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=9;
const LENGTH: Duration = Duration::from_secs(60);
const WINDOW: (Timestamp, Timestamp) = (
    Timestamp::from_millis(5_000),
    Timestamp::from_millis(55_000),
);

/// The figures of one run.
struct Figures {
    steady_wait: Duration,
    steady_response: Duration,
    steady_turned_away: f64,
    fairness: f64,
    utilisation: f64,
}

/// A way to divide the slots, made anew for each run.
struct Contestant {
    name: &'static str,
    run: fn(&[TenantLoad], u64) -> Measures,
}

const CONTESTANTS: [Contestant; 7] = [
    Contestant {
        name: "fair queue at the home",
        run: |loads, seed| simulate(&mut FairAtHome::new(SLOTS, loads), loads, seed),
    },
    Contestant {
        name: "round robin by count at the home",
        run: |loads, seed| simulate(&mut ByCount::new(SLOTS as usize, loads), loads, seed),
    },
    Contestant {
        name: "shuffle sharding at the home, 2 of 8",
        run: |loads, seed| simulate(&mut shuffle(1, 8, 2, loads, seed), loads, seed),
    },
    Contestant {
        name: "shuffle sharding at the home, 4 of 16",
        run: |loads, seed| simulate(&mut shuffle(1, 16, 4, loads, seed), loads, seed),
    },
    Contestant {
        name: "shuffle sharding per proxy, 4 of 16",
        run: |loads, seed| simulate(&mut shuffle(PROXIES, 16, 4, loads, seed), loads, seed),
    },
    Contestant {
        name: "first come per proxy",
        run: |loads, seed| simulate(&mut first_come(PROXIES, loads), loads, seed),
    },
    Contestant {
        name: "first come at the home",
        run: |loads, seed| simulate(&mut first_come(1, loads), loads, seed),
    },
];

fn main() {
    let short = ServiceTimes::constant(Duration::from_millis(5));
    let long = ServiceTimes::constant(Duration::from_millis(50));
    compare("flood of short statements (5 ms)", &workload(short));
    compare("flood of long statements (50 ms)", &workload(long));
    let mut through_one = workload(short);
    through_one[FLOOD].through = Some(0);
    compare("flood of short statements through one proxy", &through_one);
}

fn compare(title: &str, loads: &[TenantLoad]) {
    println!("{title}; {SLOTS} slots, {PROXIES} proxies, medians of seeds {SEEDS:?} (worst)");
    println!(
        "{:38} {:>18} {:>18} {:>12} {:>15} {:>13}",
        "", "steady wait p99", "response p99/alone", "turned away", "fairness", "slots busy"
    );
    let alone = median(SEEDS.map(|seed| steady_alone(loads, seed)).collect());
    for contestant in &CONTESTANTS {
        let figures: Vec<Figures> = SEEDS
            .map(|seed| evaluate(&(contestant.run)(loads, seed), loads))
            .collect();
        print_row(contestant.name, &figures, alone);
    }
    println!("steady tenants alone: response p99 {:.1} ms\n", alone * 1e3);
}

fn print_row(name: &str, figures: &[Figures], alone: f64) {
    let column = |of: fn(&Figures) -> f64| figures.iter().map(of).collect::<Vec<f64>>();
    let waits = column(|run| run.steady_wait.as_secs_f64() * 1e3);
    let responses = column(|run| run.steady_response.as_secs_f64());
    let ratios: Vec<f64> = responses.iter().map(|response| response / alone).collect();
    let turned_away = column(|run| run.steady_turned_away * 100.0);
    let fairness = column(|run| run.fairness);
    let utilisation = column(|run| run.utilisation * 100.0);
    println!(
        "{name:38} {:>9.1} ({:.1}) ms {:>9.2} ({:.2}) {:>6.1} ({:.1})% {:>7.3} ({:.3}) {:>6.1} ({:.1})%",
        median(waits.clone()),
        greatest(&waits),
        median(ratios.clone()),
        greatest(&ratios),
        median(turned_away.clone()),
        greatest(&turned_away),
        median(fairness.clone()),
        least(&fairness),
        median(utilisation.clone()),
        least(&utilisation),
    );
}

/// One tenant that offers twice what the database can do, one that sends bursts, eight steady.
fn workload(flood: ServiceTimes) -> Vec<TenantLoad> {
    let mixed = ServiceTimes {
        short: Duration::from_millis(3),
        long: Duration::from_millis(15),
        percent_long: 20,
    };
    let tenant = |name: String, service: ServiceTimes| TenantLoad {
        name,
        weight: 1,
        queue_limit: QUEUE_LIMIT,
        arrivals: Arrivals::Bursts {
            every: Duration::from_secs(2),
            size: 80,
        },
        service,
        deadline: Duration::from_secs(1),
        through: None,
    };
    let mut loads = vec![
        tenant("flood".to_owned(), flood).with_demand(2.0 * f64::from(SLOTS)),
        tenant("bursty".to_owned(), mixed),
    ];
    for number in 1..=STEADY_TENANTS {
        loads.push(tenant(format!("steady-{number}"), mixed).with_demand(0.3));
    }
    loads
}

fn shuffle(
    proxies: usize,
    queues: usize,
    hand: usize,
    loads: &[TenantLoad],
    seed: u64,
) -> ShuffleSharding {
    let dealing = Dealing {
        queues,
        hand,
        queue_limit: QUEUE_LIMIT,
    };
    ShuffleSharding::new(proxies, SLOTS, loads.len(), dealing, seed)
}

fn first_come(proxies: usize, loads: &[TenantLoad]) -> FirstCome {
    let limits = loads.iter().map(|load| load.queue_limit as usize);
    FirstCome::new(proxies, SLOTS as usize, limits.sum())
}

fn simulate(discipline: &mut impl Discipline, loads: &[TenantLoad], seed: u64) -> Measures {
    let jobs = generate(loads, PROXIES, LENGTH, seed);
    let measures = Measures::new(loads.len(), SLOTS, WINDOW);
    engine::run(discipline, &mut Callers::GiveUp, &jobs, measures)
}

/// 99th percentile of the response of a steady tenant that has the database to itself, seconds.
fn steady_alone(loads: &[TenantLoad], seed: u64) -> f64 {
    let steady = loads.iter().rev().take(1).cloned();
    let alone: Vec<TenantLoad> = steady.collect();
    let measures = simulate(&mut FairAtHome::new(SLOTS, &alone), &alone, seed);
    percentile(&measures.tenants[0].responses, 99).as_secs_f64()
}

/// The worst steady tenant's figures, and those of the whole database.
fn evaluate(measures: &Measures, loads: &[TenantLoad]) -> Figures {
    let steady = &measures.tenants[loads.len() - STEADY_TENANTS..];
    let worst = |of: &dyn Fn(usize) -> Duration| (0..steady.len()).map(of).max();
    let turned_away = steady
        .iter()
        .map(|tenant| tenant.turned_away as f64 / tenant.sent as f64);
    Figures {
        steady_wait: worst(&|i| percentile(&steady[i].waits, 99)).unwrap_or_default(),
        steady_response: worst(&|i| percentile(&steady[i].responses, 99)).unwrap_or_default(),
        steady_turned_away: turned_away.fold(0.0, f64::max),
        fairness: measures.fairness(loads),
        utilisation: measures.utilisation(),
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn greatest(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::MIN, f64::max)
}

fn least(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::MAX, f64::min)
}
