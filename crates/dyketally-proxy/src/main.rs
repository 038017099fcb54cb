//! `dyketallyd`: the daemon's command line.

use clap::{Parser, Subcommand};
use dyketally_proxy::node::{Node, StopSignal};
use dyketally_proxy::{logging, settings};

/// Database proxy with session consistency.
#[derive(Debug, Parser)]
#[command(name = "dyketallyd", version)]
struct CommandLine {
    #[command(flatten)]
    flags: settings::Flags,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks the settings, reports all faults and exits.
    Check,
}

fn main() -> eyre::Result<()> {
    let command_line = CommandLine::parse();
    match command_line.command {
        Some(Command::Check) => check(&command_line.flags),
        None => serve(&command_line.flags),
    }
}

fn check(flags: &settings::Flags) -> eyre::Result<()> {
    let report = settings::check_flags(flags);
    println!("{report}");
    if !report.is_clean() {
        std::process::exit(1);
    }
    Ok(())
}

#[tokio::main]
async fn serve(flags: &settings::Flags) -> eyre::Result<()> {
    let settings = settings::load(flags)?;
    logging::start(&settings.logging)?;
    let mut stop = StopSignal::listen()?;
    let node = Node::start(settings).await?;
    tokio::select! {
        () = stop.received() => {}
        () = node.replaced() => {}
    }
    let report = node.stop().await;
    if report.is_clean() {
        log::info!("stopped: {report}");
    } else {
        log::warn!("stopped: {report}");
    }
    Ok(())
}
