//! One failover.

use std::fmt;
use std::time::Duration;

use tokio::time::sleep;

use crate::bench::{Recorder, Sample, SampleOutcome, Signal, Topology, poll_until};

use super::watch::ElectionWatch;

/// Time that everything runs undisturbed before each failure.
const CALM: Duration = Duration::from_millis(500);

/// Time for writes to land again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Time for the baseline's writes to land again; a round without them counts for ours alone.
const BASELINE_LIMIT: Duration = Duration::from_secs(2);

/// Time that a failure lasts after writes land again.
const AFTERMATH: Duration = Duration::from_millis(200);

/// How the primary fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// It is killed and loses its log.
    Kill,
    /// It is frozen and thawed.
    Freeze,
    /// It is cut off from everyone.
    Isolate,
}

impl Failure {
    /// All of them.
    pub(super) const ALL: [Failure; 3] = [Failure::Kill, Failure::Freeze, Failure::Isolate];

    /// How it is called in results.
    pub(super) fn name(self) -> &'static str {
        match self {
            Failure::Kill => "kill",
            Failure::Freeze => "freeze",
            Failure::Isolate => "cut-off",
        }
    }
}

/// What one failover took, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Round {
    pub(super) failure: Failure,
    /// From the failure to the election.
    pub(super) election: f64,
    /// From the election to the first acknowledged write.
    pub(super) our_part: f64,
    /// From the last acknowledged write before the failure to the first one after the election.
    pub(super) gap: f64,
    /// Like our part, for callers that try one database after the other; none when no write of
    /// theirs landed.
    pub(super) baseline_part: Option<f64>,
}

impl fmt::Display for Round {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: gap {:.0} ms, election {:.0} ms, our part {:.0} ms",
            self.failure.name(),
            self.gap,
            self.election,
            self.our_part
        )
    }
}

/// Lets the primary fail, waits until writes land again, and heals.
pub(super) async fn run_round(
    topology: &mut Topology,
    failure: Failure,
    ours: &Recorder,
    baseline: &Recorder,
) -> eyre::Result<Round> {
    let group = topology.group(&topology.site.groups[0]);
    group.caught_up_within_entries(CLOSE_ENOUGH).await?;
    sleep(CALM).await;
    let primary = group.primary().await?;
    let number = topology.database_number(&primary.name)?;
    let watch = ElectionWatch::start(&group, &primary.name).await?;
    let failed_at = ours.now();
    fail(topology, failure, number).await?;
    let waited = watch.elected().await?;
    let elected_at = ours.now().saturating_sub(waited.elapsed());
    let first = first_write(ours, elected_at, RECOVERY_LIMIT).await?;
    let baseline_first = first_write(baseline, elected_at, BASELINE_LIMIT).await.ok();
    sleep(AFTERMATH).await;
    heal(topology, failure, number).await?;
    let last = last_write(&ours.samples(), failed_at).unwrap_or(failed_at);
    Ok(Round {
        failure,
        election: milliseconds(elected_at.saturating_sub(failed_at)),
        our_part: milliseconds(first.saturating_sub(elected_at)),
        gap: milliseconds(first.saturating_sub(last)),
        baseline_part: baseline_first.map(|first| milliseconds(first - elected_at)),
    })
}

/// Entries that a replica may be behind when a round begins.
const CLOSE_ENOUGH: u64 = 50;

async fn fail(topology: &mut Topology, failure: Failure, database: usize) -> eyre::Result<()> {
    match failure {
        Failure::Kill => topology.databases[database].kill().await?,
        Failure::Freeze => topology.databases[database].signal(Signal::Stop)?,
        Failure::Isolate => {
            let name = topology.plan.databases[database].name.clone();
            topology.network_control()?.isolate(&name).await?;
        }
    }
    Ok(())
}

async fn heal(topology: &mut Topology, failure: Failure, database: usize) -> eyre::Result<()> {
    match failure {
        Failure::Kill => topology.restart_database(database).await?,
        Failure::Freeze => topology.databases[database].signal(Signal::Continue)?,
        Failure::Isolate => {
            topology.network_control()?.heal_all().await?;
        }
    }
    Ok(())
}

/// When the first write after `since` was acknowledged.
async fn first_write(
    recorder: &Recorder,
    since: Duration,
    limit: Duration,
) -> eyre::Result<Duration> {
    let first = poll_until("writes to land again", limit, || async {
        let samples = recorder.samples();
        let done = samples.iter().filter(|sample| is_done(sample));
        done.map(|sample| sample.ended)
            .filter(|ended| *ended > since)
            .min()
    });
    Ok(first.await?)
}

/// When the last write that ended before `until` was acknowledged.
fn last_write(samples: &[Sample], until: Duration) -> Option<Duration> {
    let done = samples.iter().filter(|sample| is_done(sample));
    let ended = done.map(|sample| sample.ended);
    ended.filter(|ended| *ended <= until).max()
}

fn is_done(sample: &Sample) -> bool {
    sample.outcome == SampleOutcome::Done
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
