//! Starts and stops the stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use dyketally_proxy::stores::machine_list::Machines;
use dyketally_proxy::stores::memory::{MemoryMachineList, MemoryStore};
use eyre::WrapErr;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::{control, gateway, machines};

/// Time between two looks for lapsed leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the stand-in starts with.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Where the key-value service and the machine list answer; port 0 takes a free one.
    pub gateway: SocketAddr,
    /// Where faults are injected; port 0 takes a free one.
    pub control: SocketAddr,
    /// The machine list.
    pub machines: Machines,
    /// How old the machine list is that is told.
    pub machine_list_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            gateway: any_port,
            control: any_port,
            machines: Machines::default(),
            machine_list_lag: Duration::ZERO,
        }
    }
}

/// Where a started stand-in answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformAddresses {
    /// The key-value service and the machine list.
    pub gateway: SocketAddr,
    /// The injection of faults.
    pub control: SocketAddr,
}

impl PlatformAddresses {
    /// The URL of the key-value service.
    pub fn gateway_url(&self) -> String {
        format!("http://{}", self.gateway)
    }

    /// The URL of the machine list.
    pub fn machines_url(&self) -> String {
        format!("http://{}{}", self.gateway, machines::PATH)
    }

    /// The URL of the injection of faults.
    pub fn control_url(&self) -> String {
        format!("http://{}", self.control)
    }
}

/// A stand-in that runs in this process; stops when dropped.
#[derive(Debug)]
pub struct RunningPlatform {
    addresses: PlatformAddresses,
    store: MemoryStore,
    machines: MemoryMachineList,
    tasks: JoinSet<()>,
}

impl RunningPlatform {
    /// Where it answers.
    pub fn addresses(&self) -> PlatformAddresses {
        self.addresses
    }

    /// The store behind the key-value service.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// The list behind the machine list.
    pub fn machines(&self) -> &MemoryMachineList {
        &self.machines
    }

    /// Stops it: connections break and new ones are refused.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Starts the stand-in in this process.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(settings: PlatformSettings) -> eyre::Result<RunningPlatform> {
    let store = MemoryStore::default();
    let machines = MemoryMachineList::new(settings.machines);
    machines.set_lag(settings.machine_list_lag);
    let gateway_listener = bind(settings.gateway).await?;
    let control_listener = bind(settings.control).await?;
    let addresses = PlatformAddresses {
        gateway: gateway_listener.local_addr()?,
        control: control_listener.local_addr()?,
    };
    let public = gateway::routes(store.clone()).merge(machines::routes(machines.clone()));
    let control = control::routes(store.clone(), machines.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn(serve(gateway_listener, public));
    tasks.spawn(serve(control_listener, control));
    tasks.spawn(expire_leases(store.clone()));
    Ok(RunningPlatform {
        addresses,
        store,
        machines,
        tasks,
    })
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("can't listen on {address}; choose a free address"))
}

async fn serve(listener: TcpListener, routes: Router) {
    if let Err(error) = axum::serve(listener, routes).await {
        log::error!("a stand-in for the platform stopped: {error}");
    }
}

async fn expire_leases(store: MemoryStore) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        store.expire_leases();
    }
}
