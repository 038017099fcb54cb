//! Goodput of the fair queue under more load than the database can take.
//!
//! Ten equal tenants, five slots. The load is at 80% of the capacity, but for ten seconds in the
//! middle at a multiple of it. Goodput counts statements that ended within their deadline.

#[path = "../simulation/mod.rs"]
#[allow(dead_code, reason = "each example uses a part of the simulation")]
mod simulation;

use std::time::Duration;

use dyketally::retry::{Retrier, RetrySettings};
use dyketally::time::Timestamp;
use simulation::callers::Callers;
use simulation::discipline::{Discipline, Job};
use simulation::engine;
use simulation::fair::FairAtHome;
use simulation::first_come::FirstCome;
use simulation::measures::Measures;
use simulation::workload::{Arrivals, ServiceTimes, TenantLoad, generate};

const SLOTS: u32 = 5;
const TENANTS: usize = 10;
const QUEUE_LIMIT: u32 = 100;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
const DEADLINE: Duration = Duration::from_millis(200);
const USUAL_LOAD: f64 = 0.8;
const LENGTH: Duration = Duration::from_secs(30);
const SURGE: (Timestamp, Timestamp) = (
    Timestamp::from_millis(10_000),
    Timestamp::from_millis(20_000),
);
const BIN: Duration = Duration::from_millis(100);
const RECOVERED: f64 = 0.9;

const SERVICE: ServiceTimes = ServiceTimes {
    short: Duration::from_millis(3),
    long: Duration::from_millis(15),
    percent_long: 20,
};

/// The figures of one run.
struct Figures {
    /// Statements in a second that ended in time during the surge.
    goodput: f64,
    /// Share of the statements of the surge that ran and ended past their deadline.
    late: f64,
    /// Attempts for each statement sent.
    attempts: f64,
    /// From the end of the surge until statements end in time again.
    recovery: Duration,
}

struct Contestant {
    name: &'static str,
    run: fn(&[TenantLoad], &[Job], u64) -> Measures,
}

const CONTESTANTS: [Contestant; 5] = [
    Contestant {
        name: "fair queue, callers give up",
        run: |loads, jobs, _| simulate(&mut fair(loads), Callers::GiveUp, jobs),
    },
    Contestant {
        name: "fair queue, retries within budget",
        run: |loads, jobs, seed| simulate(&mut fair(loads), budgeted(seed), jobs),
    },
    Contestant {
        name: "fair queue, callers insist",
        run: |loads, jobs, _| simulate(&mut fair(loads), insist(), jobs),
    },
    Contestant {
        name: "first come at the home, callers give up",
        run: |_, jobs, _| simulate(&mut first_come(), Callers::GiveUp, jobs),
    },
    Contestant {
        name: "first come at the home, callers insist",
        run: |_, jobs, _| simulate(&mut first_come(), insist(), jobs),
    },
];

fn main() {
    let capacity = f64::from(SLOTS) / SERVICE.mean();
    println!("capacity {capacity:.0} statements/s, deadline {DEADLINE:?}, seeds {SEEDS:?}");
    for surge in [0.8, 1.0, 2.0, 5.0] {
        println!("\noffered {surge} times the capacity for 10 s; medians (worst)");
        println!(
            "{:41} {:>18} {:>16} {:>10} {:>22}",
            "", "goodput/capacity", "ended late", "attempts", "recovered after"
        );
        for contestant in &CONTESTANTS {
            let figures = SEEDS.map(|seed| evaluate(contestant, surge, seed));
            print_row(
                contestant.name,
                &figures.collect::<Vec<Figures>>(),
                capacity,
            );
        }
    }
}

fn print_row(name: &str, figures: &[Figures], capacity: f64) {
    let column = |of: fn(&Figures) -> f64| {
        let mut values: Vec<f64> = figures.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let (goodput, late) = (column(|run| run.goodput), column(|run| run.late));
    let attempts = column(|run| run.attempts);
    let recovery = column(|run| run.recovery.as_secs_f64());
    let (middle, last) = (figures.len() / 2, figures.len() - 1);
    println!(
        "{name:41} {:>8.1} ({:>5.1})% {:>7.1} ({:>4.1})% {:>10.2} {:>11.1} ({:>4.1}) s",
        goodput[middle] / capacity * 100.0,
        goodput[0] / capacity * 100.0,
        late[middle] * 100.0,
        late[last] * 100.0,
        attempts[middle],
        recovery[middle],
        recovery[last],
    );
}

fn evaluate(contestant: &Contestant, surge: f64, seed: u64) -> Figures {
    let usual = loads(USUAL_LOAD);
    let jobs = surging_jobs(surge, seed);
    let measures = (contestant.run)(&usual, &jobs, seed);
    let tenants = measures.tenants.iter();
    let sent: usize = tenants.clone().map(|tenant| tenant.sent).sum();
    let turned_away: usize = tenants.clone().map(|tenant| tenant.turned_away).sum();
    let ended: usize = tenants.clone().map(|tenant| tenant.responses.len()).sum();
    let late: usize = tenants.map(|tenant| tenant.late).sum();
    Figures {
        goodput: measures.goodput(),
        late: late as f64 / ended.max(1) as f64,
        attempts: (turned_away + ended) as f64 / sent as f64,
        recovery: recovery(&measures, &jobs),
    }
}

/// From the end of the surge until nine in ten of the statements that arrive end in time.
fn recovery(measures: &Measures, jobs: &[Job]) -> Duration {
    let mut start = SURGE.1;
    while start < Timestamp::ZERO + LENGTH {
        let end = start + BIN;
        let arrived = jobs
            .iter()
            .filter(|job| start <= job.arrived && job.arrived < end);
        let ended = measures.outcomes.iter();
        let in_time = ended
            .filter(|outcome| start <= outcome.arrived && outcome.arrived < end)
            .filter(|outcome| outcome.in_time);
        if in_time.count() as f64 >= arrived.count() as f64 * RECOVERED {
            break;
        }
        start = end;
    }
    start.saturating_since(SURGE.1)
}

/// The usual load, and what the surge adds to it.
fn surging_jobs(surge: f64, seed: u64) -> Vec<Job> {
    let mut jobs = generate(&loads(USUAL_LOAD), 1, LENGTH, seed);
    let length = SURGE.1.saturating_since(SURGE.0);
    let added = surge - USUAL_LOAD;
    if added > 0.0 {
        let offset = SURGE.0.saturating_since(Timestamp::ZERO);
        let extra = generate(&loads(added), 1, length, seed + 1_000);
        jobs.extend(extra.into_iter().map(|job| Job {
            arrived: job.arrived + offset,
            deadline: job.deadline + offset,
            ..job
        }));
    }
    jobs.sort_by_key(|job| job.arrived);
    for (number, job) in jobs.iter_mut().enumerate() {
        job.number = number;
    }
    jobs
}

/// Equal tenants that together offer `load` times the capacity.
fn loads(load: f64) -> Vec<TenantLoad> {
    let demand = load * f64::from(SLOTS) / TENANTS as f64;
    let tenants = (0..TENANTS).map(|number| {
        let tenant = TenantLoad {
            name: format!("tenant-{number}"),
            weight: 1,
            queue_limit: QUEUE_LIMIT,
            arrivals: Arrivals::Random { per_second: 1.0 },
            service: SERVICE,
            deadline: DEADLINE,
            through: None,
        };
        tenant.with_demand(demand)
    });
    tenants.collect()
}

fn fair(loads: &[TenantLoad]) -> FairAtHome {
    FairAtHome::new(SLOTS, loads)
}

fn first_come() -> FirstCome {
    FirstCome::new(1, SLOTS as usize, TENANTS * QUEUE_LIMIT as usize)
}

fn budgeted(seed: u64) -> Callers {
    Callers::budgeted(Retrier::new(RetrySettings::default()), seed)
}

fn insist() -> Callers {
    let interval = Duration::from_millis(20);
    Callers::Insist { interval }
}

fn simulate(discipline: &mut impl Discipline, mut callers: Callers, jobs: &[Job]) -> Measures {
    let measures = Measures::new(TENANTS, SLOTS, SURGE);
    engine::run(discipline, &mut callers, jobs, measures)
}
