//! Runs an experiment on the users' measures.

mod plot;
mod result;

pub use plot::draw;
pub use result::{ExperimentResult, Figure, Goal, Line, Plot, Point, quantile};

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {}

/// Runs the command.
///
/// # Errors
/// Always, until the command is built.
pub async fn run(_arguments: Arguments) -> eyre::Result<()> {
    eyre::bail!("this command is not built yet; see docs/PROOFS.md for what is left")
}
