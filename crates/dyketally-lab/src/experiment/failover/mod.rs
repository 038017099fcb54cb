//! The time in which no write lands after a primary fails, split into the group's election and
//! what comes after it.

mod baseline;
mod round;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use dyketally::history::{CheckSettings, check};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::bench::{
    Mix, Recorder, SampleOutcome, Topology, Workload, WorkloadCaller, record_final_rows,
};

use super::progress::{Progress, now_seconds};
use super::result::{ExperimentResult, Figure, Goal, Line, Plot, Point};
use super::settings::ExperimentSettings;
use baseline::BaselineCaller;
use round::{Failure, Round, run_round};

/// Failovers, unless another number is asked for.
const ROUNDS: usize = 30;

/// Callers that write through the proxies, and as many that write straight to the databases.
const CALLERS: usize = 6;

/// Connections of each database for the baseline's callers; the proxies may hold all the others.
const SPARE_CONNECTIONS: u32 = 2 * CALLERS as u32;

/// Goal for the median of our part, in milliseconds.
const MEDIAN_GOAL: f64 = 50.0;

/// Goal for the longest of our parts, in milliseconds.
const WORST_GOAL: f64 = 150.0;

/// Time after which a caller gives up on a statement; longer than the statements' deadline.
const PATIENCE: Duration = Duration::from_secs(5);

const MIX: Mix = Mix {
    writes: 1.0,
    own_lookups: 0.0,
    roams: 0.0,
    pause: Duration::from_millis(2),
};

/// Runs the experiment.
///
/// # Errors
/// When the site can't be started or a round could not be run to its end.
pub(super) async fn run(settings: &ExperimentSettings) -> eyre::Result<ExperimentResult> {
    let mut settings = settings.clone();
    settings.site.database.spare_connections = SPARE_CONNECTIONS;
    let settings = &settings;
    let mut topology = settings.start().await?;
    let ours = Arc::new(Recorder::default());
    // One clock for both, so that their times can be compared.
    let baseline = Arc::new(Recorder::with_clock_of(&ours));
    let stop = CancellationToken::new();
    let mut callers = start_callers(settings, &topology, &ours, &stop);
    callers.extend(start_baseline(&topology, &baseline, &stop));
    let count = settings.rounds.unwrap_or(ROUNDS);
    let progress = Progress::new(&settings.name, count as u64);
    let mut rounds = Vec::new();
    for (_, failure) in (0..count).zip(Failure::ALL.into_iter().cycle()) {
        let round = run_round(&mut topology, failure, &ours, &baseline).await?;
        progress.step(&round.to_string());
        rounds.push(round);
    }
    stop.cancel();
    for caller in callers {
        caller.await?;
    }
    drop(progress);
    let group = topology.group(&topology.site.groups[0]);
    record_final_rows(&group, &ours).await?;
    Ok(result(settings, &topology, &rounds, &ours))
}

fn start_callers(
    settings: &ExperimentSettings,
    topology: &Topology,
    recorder: &Arc<Recorder>,
    stop: &CancellationToken,
) -> Vec<JoinHandle<()>> {
    let tenant = &topology.site.tenants[0].name;
    let start = |number| {
        let callers = topology.callers(tenant, PATIENCE);
        let recorder = Arc::clone(recorder);
        let seed = settings.seed;
        let caller = WorkloadCaller::new(number, Workload::Seats, MIX, callers, recorder, seed);
        tokio::spawn(caller.with_posts(0).run(stop.clone()))
    };
    (0..CALLERS).map(start).collect()
}

fn start_baseline(
    topology: &Topology,
    recorder: &Arc<Recorder>,
    stop: &CancellationToken,
) -> Vec<JoinHandle<()>> {
    let start = |number| {
        let caller = BaselineCaller::new(number, topology, Arc::clone(recorder));
        tokio::spawn(caller.run(stop.clone()))
    };
    (0..CALLERS).map(start).collect()
}

fn result(
    settings: &ExperimentSettings,
    topology: &Topology,
    rounds: &[Round],
    recorder: &Recorder,
) -> ExperimentResult {
    let mut figures = Vec::new();
    for failure in [
        None,
        Some(Failure::Kill),
        Some(Failure::Freeze),
        Some(Failure::Isolate),
    ] {
        let chosen = rounds
            .iter()
            .filter(|round| failure.is_none_or(|it| it == round.failure));
        let chosen: Vec<&Round> = chosen.collect();
        let label = failure.map_or("all", Failure::name);
        figures.extend(round_figures(label, &chosen));
    }
    figures.extend(whole_figures(rounds, recorder));
    ExperimentResult {
        name: settings.name.clone(),
        summary: String::from(
            "Failures of the primary under write load. The gap is the time from the last write \
             acknowledged before the failure showed to the first one after the election; our \
             part begins when a member says that it leads. The baseline's callers know all \
             databases and try one after the other.",
        ),
        ended: now_seconds(),
        commit: None,
        seeds: vec![settings.seed],
        site: topology.site.clone(),
        figures,
        plot: plot(rounds),
    }
}

fn round_figures(label: &str, rounds: &[&Round]) -> Vec<Figure> {
    let values = |value: fn(&Round) -> f64| rounds.iter().map(|round| value(round)).collect();
    let baseline = rounds.iter().filter_map(|round| round.baseline_part);
    let name = |what: &str| format!("{what}, {label}");
    let goal = Some(Goal::AtMost(MEDIAN_GOAL));
    vec![
        Figure::ours(&name("our part"), "ms", goal, values(|it| it.our_part)),
        Figure::ours(&name("gap"), "ms", None, values(|it| it.gap)),
        Figure::of(
            "the group",
            &name("election"),
            "ms",
            None,
            values(|it| it.election),
        ),
        Figure::of(
            "callers that try all databases",
            &name("part after the election"),
            "ms",
            None,
            baseline.collect(),
        ),
    ]
}

fn whole_figures(rounds: &[Round], recorder: &Recorder) -> Vec<Figure> {
    let worst = rounds
        .iter()
        .map(|round| round.our_part)
        .fold(0.0, f64::max);
    let samples = recorder.samples();
    let count = |outcome| {
        let counted = samples.iter().filter(|sample| sample.outcome == outcome);
        vec![counted.count() as f64]
    };
    let violations = check(&recorder.events(), CheckSettings::default());
    for violation in &violations {
        eprintln!("violation: {violation}");
    }
    let none = Some(Goal::AtMost(0.0));
    let found = vec![violations.len() as f64];
    vec![
        Figure::ours(
            "longest of our parts",
            "ms",
            Some(Goal::AtMost(WORST_GOAL)),
            vec![worst],
        ),
        Figure::ours("acknowledged writes", "", None, count(SampleOutcome::Done)),
        Figure::ours("writes not run", "", None, count(SampleOutcome::NotRun)),
        Figure::ours(
            "writes of unknown outcome",
            "",
            None,
            count(SampleOutcome::Unknown),
        ),
        Figure::ours("violations in the history", "", none, found),
    ]
}

fn plot(rounds: &[Round]) -> Plot {
    let line = |name: &str, value: fn(&Round) -> f64| {
        let points = rounds.iter().enumerate().map(|(round, measured)| Point {
            x: round as f64 + 1.0,
            y: value(measured),
        });
        Line {
            name: name.to_owned(),
            points: points.collect(),
        }
    };
    Plot {
        title: String::from("Failover"),
        horizontal: String::from("round"),
        vertical: String::from("ms"),
        lines: vec![
            line("gap", |it| it.gap),
            line("election", |it| it.election),
            line("our part", |it| it.our_part),
            line("baseline after the election", |it| {
                it.baseline_part.unwrap_or_default()
            }),
        ],
    }
}
