//! Injects faults over HTTP.

use std::time::Duration;

use axum::extract::State;
use axum::routing::{get, post, put};
use axum::{Json, Router};
use dyketally_proxy::stores::key_value::StoreRevision;
use dyketally_proxy::stores::machine_list::Machines;
use dyketally_proxy::stores::memory::{FaultPlan, MemoryMachineList, MemoryStore};
use serde::{Deserialize, Serialize};

/// Paths of the control address.
pub(super) mod path {
    pub const FAULTS: &str = "/faults";
    pub const LAPSE_LEASES: &str = "/leases/lapse";
    pub const COMPACT: &str = "/compact";
    pub const MACHINES: &str = "/machines";
    pub const MACHINE_LIST_FAULTS: &str = "/machines/faults";
    pub const STATUS: &str = "/status";
}

/// Forgets the history before a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactRequest {
    /// The revision of the store.
    pub store_revision: u64,
}

/// The faults of the machine list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MachineListFaults {
    /// How old the list is that is told, in milliseconds.
    pub lag_milliseconds: u64,
    /// True when the list doesn't answer.
    pub unavailable: bool,
}

/// What the stand-in has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// The newest revision of the store.
    pub store_revision: u64,
    /// The revision up to which the history is forgotten.
    pub compacted: u64,
    /// Requests to the key-value service, with those that were refused.
    pub requests: u64,
}

#[derive(Clone, Debug)]
struct Controlled {
    store: MemoryStore,
    machines: MemoryMachineList,
}

pub(super) fn routes(store: MemoryStore, machines: MemoryMachineList) -> Router {
    Router::new()
        .route(path::FAULTS, get(faults).put(set_faults))
        .route(path::LAPSE_LEASES, post(lapse_leases))
        .route(path::COMPACT, post(compact))
        .route(path::MACHINES, put(set_machines))
        .route(path::MACHINE_LIST_FAULTS, put(set_machine_list_faults))
        .route(path::STATUS, get(status))
        .with_state(Controlled { store, machines })
}

async fn faults(State(controlled): State<Controlled>) -> Json<FaultPlan> {
    Json(controlled.store.faults())
}

async fn set_faults(State(controlled): State<Controlled>, Json(faults): Json<FaultPlan>) {
    log::info!("faults of the key-value service: {faults:?}");
    controlled.store.set_faults(faults);
}

async fn lapse_leases(State(controlled): State<Controlled>) {
    log::info!("all leases of the key-value service lapse");
    controlled.store.lapse_leases();
}

async fn compact(State(controlled): State<Controlled>, Json(request): Json<CompactRequest>) {
    let revision = StoreRevision(request.store_revision);
    controlled.store.compact(revision);
}

async fn set_machines(State(controlled): State<Controlled>, Json(machines): Json<Machines>) {
    controlled.machines.set_machines(machines);
}

async fn set_machine_list_faults(
    State(controlled): State<Controlled>,
    Json(faults): Json<MachineListFaults>,
) {
    log::info!("faults of the machine list: {faults:?}");
    let lag = Duration::from_millis(faults.lag_milliseconds);
    controlled.machines.set_lag(lag);
    controlled.machines.set_available(!faults.unavailable);
}

async fn status(State(controlled): State<Controlled>) -> Json<PlatformStatus> {
    let store = &controlled.store;
    Json(PlatformStatus {
        store_revision: store.newest().0,
        compacted: store.compacted().0,
        requests: store.requests(),
    })
}
