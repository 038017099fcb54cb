//! Stand-ins for the platform: key-value service and machine list, as one process over HTTP.

mod control;
mod control_client;
mod convert;
mod failure;
mod gateway;
mod machines;
mod server;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dyketally_proxy::stores::machine_list::Machines;
use eyre::WrapErr;

pub use control::{CompactRequest, MachineListFaults, PlatformStatus};
pub use control_client::{ControlClient, ControlError};
pub use machines::PATH as MACHINES_PATH;
pub use server::{PlatformAddresses, PlatformSettings, RunningPlatform, start};

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Where the key-value service and the machine list answer.
    #[arg(long, default_value = "127.0.0.1:0")]
    gateway: SocketAddr,
    /// Where faults are injected.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// A JSON file with the machine list to start with.
    #[arg(long)]
    machines: Option<PathBuf>,
    /// Lag of the machine list in milliseconds.
    #[arg(long, default_value_t = 0)]
    machine_list_lag: u64,
}

/// Runs the command until the process is told to stop; prints the addresses as one line of JSON.
///
/// # Errors
/// When the machine list can't be read or an address can't be bound.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let machines = read_machines(arguments.machines)?;
    let settings = PlatformSettings {
        gateway: arguments.gateway,
        control: arguments.control,
        machines,
        machine_list_lag: Duration::from_millis(arguments.machine_list_lag),
    };
    let platform = start(settings).await?;
    println!("{}", serde_json::to_string(&platform.addresses())?);
    tokio::signal::ctrl_c().await?;
    platform.stop().await;
    Ok(())
}

fn read_machines(file: Option<PathBuf>) -> eyre::Result<Machines> {
    let Some(file) = file else {
        return Ok(Machines::default());
    };
    let text = std::fs::read(&file)
        .wrap_err_with(|| format!("can't read {}; check --machines", file.display()))?;
    serde_json::from_slice(&text)
        .wrap_err_with(|| format!("{} is not a machine list", file.display()))
}
