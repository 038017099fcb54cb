//! Starts databases inside a process, alone or as a group.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::connection::accept_clients;
use super::control::serve_control;
use super::control_client::ControlClient;
use super::driver::run_member;
use super::server::Database;
use super::settings::{DatabaseSettings, PeerSettings};

/// A database that runs until this is dropped. Dropping it cuts all connections off at once.
#[derive(Debug)]
pub struct RunningDatabase {
    /// The settings, with the addresses that were bound.
    pub settings: DatabaseSettings,
    _stop_on_drop: DropGuard,
}

impl RunningDatabase {
    /// Where it accepts clients.
    pub fn address(&self) -> SocketAddr {
        self.settings.listen
    }

    /// A client of its control address.
    pub fn control(&self) -> ControlClient {
        ControlClient::new(self.settings.control_listen)
    }

    /// Connection string for `tokio-postgres`.
    pub fn connection_string(&self) -> String {
        let address = self.settings.listen;
        format!(
            "host={} port={} user=lab dbname=lab",
            address.ip(),
            address.port()
        )
    }
}

struct Listeners {
    clients: TcpListener,
    peers: TcpListener,
    control: TcpListener,
}

impl Listeners {
    async fn bind(settings: &DatabaseSettings) -> eyre::Result<Self> {
        Ok(Self {
            clients: bind(settings.listen).await?,
            peers: bind(settings.peer_listen).await?,
            control: bind(settings.control_listen).await?,
        })
    }
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}; choose a free address, or port 0"))
}

/// Starts one database.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(settings: DatabaseSettings) -> eyre::Result<RunningDatabase> {
    let listeners = Listeners::bind(&settings).await?;
    start_with(settings, listeners)
}

fn start_with(
    mut settings: DatabaseSettings,
    listeners: Listeners,
) -> eyre::Result<RunningDatabase> {
    settings.listen = listeners.clients.local_addr()?;
    settings.peer_listen = listeners.peers.local_addr()?;
    settings.control_listen = listeners.control.local_addr()?;
    let database = Arc::new(Database::new(settings.clone()));
    let stopped = CancellationToken::new();
    let clients = accept_clients(database.clone(), listeners.clients, stopped.clone());
    let member = run_member(database.clone(), listeners.peers, stopped.clone());
    let control = serve_control(database, listeners.control, stopped.clone());
    tokio::spawn(clients);
    tokio::spawn(member);
    tokio::spawn(control);
    Ok(RunningDatabase {
        settings,
        _stop_on_drop: stopped.drop_guard(),
    })
}

/// Starts a group whose members know each other, whatever ports they get.
///
/// # Errors
/// When an address can't be bound.
pub async fn start_group(members: Vec<DatabaseSettings>) -> eyre::Result<Vec<RunningDatabase>> {
    let mut bound = Vec::new();
    for settings in members {
        let listeners = Listeners::bind(&settings).await?;
        bound.push((settings, listeners));
    }
    let mut all_peers = Vec::new();
    for (settings, listeners) in &bound {
        all_peers.push(PeerSettings {
            name: settings.name.clone(),
            address: listeners.peers.local_addr()?,
        });
    }
    let members = bound.into_iter().map(|(mut settings, listeners)| {
        let others = all_peers.iter().filter(|peer| peer.name != settings.name);
        settings.peers = others.cloned().collect();
        start_with(settings, listeners)
    });
    members.collect()
}

/// Starts a group of three on free ports, named `<group>-a`, `<group>-b` and `<group>-c`.
///
/// # Errors
/// When an address can't be bound.
pub async fn start_group_of_three(
    group: &str,
    template: &DatabaseSettings,
) -> eyre::Result<Vec<RunningDatabase>> {
    let members = ["a", "b", "c"].into_iter().map(|member| {
        let named = DatabaseSettings::named(&format!("{group}-{member}"));
        DatabaseSettings {
            name: named.name,
            ..template.clone()
        }
    });
    start_group(members.collect()).await
}
