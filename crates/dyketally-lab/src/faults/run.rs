//! Runs one case from the start of its processes to the verdict.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dyketally::history::{CheckSettings, Event, Violation, check};
use eyre::ensure;
use tokio::time::{sleep, timeout};

use super::case::FaultCase;
use super::history_file::{write_history, write_samples};
use super::inject::Injector;
use super::outcomes::Outcomes;
use super::settle::record_final_state;
use super::stage::Stage;

/// The longest time that a case may take.
const CASE_LIMIT: Duration = Duration::from_secs(120);

/// The file of a case's history.
const HISTORY_FILE: &str = "history.jsonl";

/// The file of a case's measured requests.
const SAMPLES_FILE: &str = "samples.csv";

/// Violations that a line shows; the others are in the history.
const VIOLATIONS_SHOWN: usize = 5;

/// How cases are run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CaseSettings {
    /// Time of load before the faults and again after them.
    pub load: Duration,
    /// Seed of the callers' choices.
    pub seed: u64,
}

/// What a case showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseReport {
    /// Requests by outcome.
    pub outcomes: Outcomes,
    /// What the checker found.
    pub violations: Vec<Violation>,
    /// What was struck, in order.
    pub struck: Vec<String>,
    /// The history, for judging it again.
    pub history: PathBuf,
}

impl CaseReport {
    /// The report of a case without violations.
    ///
    /// # Errors
    /// When there are violations, or not one write was acknowledged.
    pub fn into_result(self) -> eyre::Result<Self> {
        ensure!(self.violations.is_empty(), "{self}");
        ensure!(self.outcomes.writes_done > 0, "no write landed: {self}");
        Ok(self)
    }
}

impl fmt::Display for CaseReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.violations.len();
        write!(formatter, "{}, {count} violations", self.outcomes)?;
        write!(formatter, " [{}]", self.struck.join("; "))?;
        for violation in self.violations.iter().take(VIOLATIONS_SHOWN) {
            write!(formatter, "\n     {violation}")?;
        }
        if count > 0 {
            write!(formatter, "\n     history: {}", self.history.display())?;
        }
        Ok(())
    }
}

/// Runs one case; its processes' settings and logs and its history go to `directory`.
///
/// # Errors
/// When a process can't be started or the case does not end in time.
pub async fn run_case(
    case: &FaultCase,
    settings: CaseSettings,
    directory: &Path,
) -> eyre::Result<CaseReport> {
    match timeout(CASE_LIMIT, run_unbounded(case, settings, directory)).await {
        Ok(report) => report,
        Err(_) => eyre::bail!("the case did not end within {CASE_LIMIT:?}; see its logs"),
    }
}

async fn run_unbounded(
    case: &FaultCase,
    settings: CaseSettings,
    directory: &Path,
) -> eyre::Result<CaseReport> {
    let stage = Stage::set(case, directory).await?;
    let mut injector = Injector::new(stage);
    let callers = injector.stage.start_callers(case, settings.seed);
    sleep(settings.load).await;
    let injected = injector.run(case.script).await;
    sleep(settings.load).await;
    let stopped = injector.stage.recorder.now();
    callers.stop().await?;
    let samples = injector.stage.recorder.samples();
    let settled = settle(&mut injector).await;
    let events = injector.stage.recorder.events();
    let history = directory.join(HISTORY_FILE);
    write_history(&history, &events)?;
    write_samples(&directory.join(SAMPLES_FILE), &samples)?;
    injected?;
    settled?;
    let outcomes = Outcomes::of_samples(&samples, stopped);
    if case.must_not_cut {
        let cut = outcomes.unknown + outcomes.rolled_back;
        ensure!(
            cut == 0,
            "{cut} requests were cut off: {outcomes}; history: {}",
            history.display()
        );
    }
    Ok(CaseReport {
        outcomes,
        violations: judge(&events),
        struck: injector.struck,
        history,
    })
}

async fn settle(injector: &mut Injector) -> eyre::Result<()> {
    injector.end_all_faults().await?;
    record_final_state(&injector.stage, &injector.restarts).await
}

fn judge(events: &[Event]) -> Vec<Violation> {
    check(events, CheckSettings::default())
}
