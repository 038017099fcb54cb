//! Runs the fault cases on real processes and judges their histories with the history checker.

mod case;
mod history_file;
mod inject;
mod leaving;
mod observe;
mod operators;
mod outcomes;
mod planned_stop;
mod run;
mod settle;
mod stage;
mod table;
mod victim;

use std::path::{Path, PathBuf};

use clap::ValueEnum;
use eyre::ensure;

use crate::testbed::Steps;

pub use case::{Action, Direction, FaultCase, Target, User};
pub use history_file::{judge_file, read_history, write_history, write_samples};
pub use outcomes::Outcomes;
pub use run::{CaseReport, CaseSettings, run_case};
pub use settle::log_events;
pub use table::cases;

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Where settings, logs and histories of the cases go.
    #[arg(long, default_value = "target/faults")]
    pub out: PathBuf,
    /// Runs only the case with this name; may be given several times.
    #[arg(long = "case", value_name = "NAME")]
    pub cases: Vec<String>,
    /// Which cases to run when none is named.
    #[arg(long, value_enum, default_value_t)]
    pub selection: Selection,
    /// Runs the cases on this user's site and workload instead of their own.
    #[arg(long, value_enum)]
    pub user: Option<User>,
    /// Seconds of load before the faults and again after them.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=60))]
    pub seconds: u64,
    /// Seed of the callers' choices; chosen at random when left out.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Lists the cases and runs none.
    #[arg(long)]
    pub list: bool,
    /// Judges a recorded history again and runs no case.
    #[arg(long, value_name = "FILE")]
    pub judge: Option<PathBuf>,
}

/// A selection of cases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Selection {
    /// All cases.
    #[default]
    All,
    /// A few cases, for each change.
    Short,
}

/// Runs the command.
///
/// # Errors
/// When a case fails, or the arguments name no case.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    if arguments.list {
        list();
        return Ok(());
    }
    if let Some(file) = &arguments.judge {
        return judge(file);
    }
    let selected = selected(&arguments)?;
    let seed = arguments.seed.unwrap_or_else(rand::random);
    println!("faults: seed {seed}; run again with --seed {seed}");
    let settings = CaseSettings {
        load: std::time::Duration::from_secs(arguments.seconds),
        seed,
    };
    let mut steps = Steps::new("faults");
    for case in selected {
        let case = &FaultCase {
            user: arguments.user.unwrap_or(case.user),
            ..*case
        };
        let directory = arguments.out.join(case.name);
        let report = run_case(case, settings, &directory).await;
        steps.record(case.name, report.and_then(CaseReport::into_result));
    }
    steps.finish()
}

fn list() {
    for case in cases() {
        let mark = if case.is_short { "short" } else { "" };
        println!("{:<28} {mark:<6} {}", case.name, case.shows);
    }
}

fn judge(file: &Path) -> eyre::Result<()> {
    let violations = judge_file(file)?;
    for violation in &violations {
        println!("{violation}");
    }
    println!("{}: {} violations", file.display(), violations.len());
    ensure!(violations.is_empty(), "the history shows violations");
    Ok(())
}

fn selected(arguments: &Arguments) -> eyre::Result<Vec<&'static FaultCase>> {
    if arguments.cases.is_empty() {
        let is_selected =
            |case: &&FaultCase| arguments.selection == Selection::All || case.is_short;
        return Ok(cases().filter(is_selected).collect());
    }
    let named = arguments.cases.iter().map(|name| {
        let case = cases().find(|case| case.name == name);
        case.ok_or_else(|| eyre::eyre!("there is no case {name:?}; see `faults --list`"))
    });
    named.collect()
}
