//! Relays between processes that delay and cut connections, as the network between zones does.
//!
//! Each process reaches each other process through a relay of its own, so a fault can concern one
//! process, one zone or one direction. A relay forwards TCP and UDP on the same port.

mod client;
mod control;
mod link;
mod relay;
mod settings;
mod start;
mod tcp;
mod timer;
mod udp;

use std::path::PathBuf;

pub use client::{ControlClient, ControlError};
pub use control::{CutRequest, DelayRequest, HealRequest, RouteEntry};
pub use link::{LinkState, Passage, Place};
pub use relay::Relay;
pub use settings::{Delay, Endpoint, NetworkSettings, SettingsError};
pub use start::{Network, StartError};
pub use timer::sleep_until;

use eyre::WrapErr;

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// TOML file with the control address, the endpoints and the delays between zones.
    #[arg(long)]
    pub settings: PathBuf,
}

/// Runs the relays until the process is stopped.
///
/// # Errors
/// When the settings can't be read or an address can't be bound.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let path = &arguments.settings;
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("{} can't be read; pass a readable file", path.display()))?;
    let settings: NetworkSettings = toml::from_str(&text)
        .wrap_err_with(|| format!("{} is not valid; mend the named field", path.display()))?;
    let network = Network::start(&settings).await?;
    println!("network: control at {}", network.control_address());
    std::future::pending::<()>().await;
    drop(network);
    Ok(())
}
