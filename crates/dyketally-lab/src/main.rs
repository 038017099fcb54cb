//! `dyketally-lab`: the command line of the lab.

use clap::{Parser, Subcommand};
use dyketally_lab::{database, demo, faults, load, network, platform};

/// Stand-ins, demo, load and fault cases of dyketally.
#[derive(Debug, Parser)]
#[command(name = "dyketally-lab", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// A stand-in for one database of a group.
    Database(Box<database::Arguments>),
    /// Stand-ins for the platform: key-value service and machine list.
    Platform(platform::Arguments),
    /// Relays between zones that delay and cut connections.
    Network(network::Arguments),
    /// Fault cases on real processes, checked by the history checker.
    Faults(faults::Arguments),
    /// The whole path as processes.
    Demo(demo::Arguments),
    /// Offer load; report latency, rate and memory.
    Load(load::Arguments),
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    match CommandLine::parse().command {
        Command::Database(arguments) => database::run(*arguments).await,
        Command::Platform(arguments) => platform::run(arguments).await,
        Command::Network(arguments) => network::run(arguments).await,
        Command::Faults(arguments) => faults::run(arguments).await,
        Command::Demo(arguments) => demo::run(arguments).await,
        Command::Load(arguments) => load::run(arguments).await,
    }
}
