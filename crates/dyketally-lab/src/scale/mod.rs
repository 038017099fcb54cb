//! Runs hollow nodes beside real ones at the size to design for.

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
