//! Runs the whole path as processes and prints what was seen, one step a line.

mod failures;
mod operators;
mod sessions;
mod stage;

use std::path::PathBuf;

use crate::testbed::Steps;

use stage::Stage;

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Where settings and logs of the processes go.
    #[arg(long, default_value = "target/demo")]
    pub out: PathBuf,
}

/// Runs the command.
///
/// # Errors
/// When a step failed.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let mut steps = Steps::new("demo");
    match Stage::set(&arguments.out).await {
        Ok(mut stage) => {
            steps.record("start", Ok::<_, eyre::Report>(stage.describe()));
            run_steps(&mut steps, &mut stage).await;
        }
        Err(error) => steps.record("start", Err::<String, _>(error)),
    }
    steps.finish()
}

async fn run_steps(steps: &mut Steps, stage: &mut Stage) {
    steps.record("operators", operators::publish(stage).await);
    steps.record("two operators", operators::conflict(stage).await);
    steps.record("write", sessions::write_through_first_proxy(stage).await);
    steps.record("roam", sessions::read_from_replica(stage).await);
    steps.record(
        "lagging replicas",
        sessions::read_while_lagging(stage).await,
    );
    steps.record("transaction", sessions::commit_and_roll_back(stage).await);
    steps.record("duplicate", sessions::refuse_duplicate(stage).await);
    steps.record("strangers", sessions::refuse_strangers(stage).await);
    steps.record("home killed", failures::kill_home(stage).await);
    steps.record("primary killed", failures::kill_primary(stage).await);
    steps.record("proxy stopped", failures::stop_proxy(stage).await);
    steps.record("platform down", failures::platform_outage(stage).await);
}
