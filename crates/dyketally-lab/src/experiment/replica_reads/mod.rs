//! The share of reads that replicas serve, against the most that were possible.

mod oracle;
mod session;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::bench::{AdminClient, Group, Row, STOCK_VALUE, Topology};

use super::progress::{Progress, now_seconds};
use super::result::{ExperimentResult, Figure, Goal, Line, Plot, Point, quantile};
use super::settings::ExperimentSettings;
use oracle::{Positions, ReadSample};
use session::{SessionKind, SessionLoad};

/// Time that each point is measured.
const POINT_TIME: Duration = Duration::from_millis(2_500);

/// Time for a changed lag to show before measuring begins.
const SETTLE: Duration = Duration::from_millis(300);

/// Sessions of each kind.
const SESSIONS: usize = 6;

/// Goal for the share against the most that was possible.
const SHARE_GOAL: f64 = 0.95;

/// The homes' counter of reads that replicas served.
const REPLICA_READS: &str = "dyketally_home_replica_reads_total";

/// The homes' counter of reads that the primary served.
const PRIMARY_READS: &str = "dyketally_home_primary_reads_total";

/// How far replicas are behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lag {
    /// All by this many milliseconds.
    All(u64),
    /// One by this many milliseconds, the others not at all.
    One(u64),
}

/// The points of the experiment.
const LAGS: [Lag; 5] = [
    Lag::All(0),
    Lag::All(5),
    Lag::All(50),
    Lag::All(500),
    Lag::One(10_000),
];

/// Share of a session's requests that write: rarely, and often.
const WRITE_SHARES: [(&str, f64); 2] = [("writes rarely", 0.02), ("writes often", 0.2)];

/// One measured point.
#[derive(Debug)]
struct Measured {
    label: String,
    lag: Lag,
    writes: &'static str,
    share: f64,
    possible: f64,
    read_p99: f64,
    baseline_p99: f64,
    missed_own_writes: usize,
}

/// Runs the experiment.
///
/// # Errors
/// When the site can't be started or a point could not be measured.
pub(super) async fn run(settings: &ExperimentSettings) -> eyre::Result<ExperimentResult> {
    let topology = settings.start().await?;
    let group = topology.group(&topology.site.groups[0]);
    let rows = [Row {
        key: "part-0",
        value: STOCK_VALUE,
    }];
    topology.insert(&group.name, "stock", &rows).await?;
    let points = LAGS.len() * WRITE_SHARES.len();
    let progress = Progress::new(&settings.name, points as u64);
    let mut measured = Vec::new();
    for (writes, write_share) in WRITE_SHARES {
        for lag in LAGS {
            set_lag(&group, lag).await?;
            tokio::time::sleep(SETTLE).await;
            let point = measure(settings, &topology, &group, lag, writes, write_share).await?;
            progress.step(&point.label);
            measured.push(point);
        }
    }
    drop(progress);
    Ok(result(settings, &topology, &measured))
}

async fn set_lag(group: &Group, lag: Lag) -> eyre::Result<()> {
    group.set_lag(0).await?;
    match lag {
        Lag::All(milliseconds) => group.set_lag(milliseconds).await?,
        Lag::One(milliseconds) => {
            let primary = group.primary().await?;
            let mut replicas = group.members.iter();
            if let Some(replica) = replicas.find(|member| member.name != primary.name) {
                replica.control.set_replication_lag(milliseconds).await?;
            }
        }
    }
    Ok(())
}

async fn measure(
    settings: &ExperimentSettings,
    topology: &Topology,
    group: &Group,
    lag: Lag,
    writes: &'static str,
    write_share: f64,
) -> eyre::Result<Measured> {
    let label = label(lag, writes);
    let admin = AdminClient::new(&topology.plan)?;
    let positions = Arc::new(Positions::watch(group).await?);
    // In turns: the homes' counters don't tell sessions apart.
    let load = |kind| load(kind, settings, topology, &label, write_share);
    let baseline = load(SessionKind::PrimaryOnly).await?;
    let before = counts(&admin).await;
    let ours = load(SessionKind::Ours).await?;
    let after = counts(&admin).await;
    let served = (after.0 - before.0, after.1 - before.1);
    let possible = ours.iter().filter(|read| positions.had_fresh_replica(read));
    let milliseconds = |reads: &[ReadSample]| -> Vec<f64> {
        let took = reads.iter().map(|read| read.ended - read.began);
        took.map(|took| took.as_secs_f64() * 1_000.0).collect()
    };
    Ok(Measured {
        label,
        lag,
        writes,
        share: served.0 / (served.0 + served.1).max(1.0),
        possible: possible.count() as f64 / ours.len().max(1) as f64,
        read_p99: quantile(&milliseconds(&ours), 0.99).unwrap_or_default(),
        baseline_p99: quantile(&milliseconds(&baseline), 0.99).unwrap_or_default(),
        missed_own_writes: ours.iter().filter(|read| read.missed_own_write).count(),
    })
}

/// Reads that replicas served, and reads that the primary served.
async fn counts(admin: &AdminClient) -> (f64, f64) {
    (
        admin.sum(REPLICA_READS).await,
        admin.sum(PRIMARY_READS).await,
    )
}

async fn load(
    kind: SessionKind,
    settings: &ExperimentSettings,
    topology: &Topology,
    label: &str,
    write_share: f64,
) -> eyre::Result<Vec<ReadSample>> {
    let end = Instant::now() + POINT_TIME;
    let mut tasks = JoinSet::new();
    for number in 0..SESSIONS {
        let load = SessionLoad::new(kind, number, topology, label, write_share, settings.seed);
        tasks.spawn(load.run_until(end));
    }
    let mut reads = Vec::new();
    while let Some(task) = tasks.join_next().await {
        reads.extend(task?);
    }
    Ok(reads)
}

fn label(lag: Lag, writes: &str) -> String {
    match lag {
        Lag::All(milliseconds) => format!("lag {milliseconds} ms, {writes}"),
        Lag::One(milliseconds) => format!("one replica {milliseconds} ms behind, {writes}"),
    }
}

fn result(
    settings: &ExperimentSettings,
    topology: &Topology,
    measured: &[Measured],
) -> ExperimentResult {
    ExperimentResult {
        name: settings.name.clone(),
        summary: String::from(
            "Reads of roaming sessions. The most that was possible counts a read when some \
             replica held the session's position half-way between its sending and its answer. \
             The baseline's sessions send the same reads without a token, so that the confirmed \
             primary serves them; both run in turns at each point.",
        ),
        ended: now_seconds(),
        commit: None,
        seeds: vec![settings.seed],
        site: topology.site.clone(),
        figures: measured.iter().flat_map(point_figures).collect(),
        plot: plot(measured),
    }
}

fn point_figures(point: &Measured) -> Vec<Figure> {
    let name = |what: &str| format!("{what}, {}", point.label);
    let of_possible = point.share / point.possible.max(f64::MIN_POSITIVE);
    let share_goal = Some(Goal::AtLeast(SHARE_GOAL));
    let p99_goal = Some(Goal::AtMost(point.baseline_p99));
    let none = Some(Goal::AtMost(0.0));
    vec![
        Figure::ours(
            &name("share of reads by replicas"),
            "",
            None,
            vec![point.share],
        ),
        Figure::ours(
            &name("share of the possible"),
            "",
            share_goal,
            vec![of_possible],
        ),
        Figure::ours(&name("read p99"), "ms", p99_goal, vec![point.read_p99]),
        Figure::of(
            "all reads to the primary",
            &name("read p99"),
            "ms",
            None,
            vec![point.baseline_p99],
        ),
        Figure::ours(
            &name("own writes not read"),
            "",
            none,
            vec![point.missed_own_writes as f64],
        ),
    ]
}

fn plot(measured: &[Measured]) -> Plot {
    let mut lines = Vec::new();
    for (writes, _) in WRITE_SHARES {
        let points = measured.iter().filter(|point| point.writes == writes);
        let points: Vec<&Measured> = points.collect();
        let place = |lag| LAGS.iter().position(|it| *it == lag).unwrap_or_default() as f64;
        let line = |name: String, value: fn(&Measured) -> f64| Line {
            name,
            points: points
                .iter()
                .map(|point| Point {
                    x: place(point.lag),
                    y: value(point),
                })
                .collect(),
        };
        lines.push(line(format!("served by replicas, {writes}"), |it| it.share));
        lines.push(line(format!("possible, {writes}"), |it| it.possible));
    }
    Plot {
        title: String::from("Share of reads by replicas"),
        horizontal: String::from("lag: 0, 5, 50, 500 ms, one replica far behind"),
        vertical: String::from("share"),
        lines,
    }
}
