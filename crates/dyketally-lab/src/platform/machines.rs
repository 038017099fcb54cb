//! The machine list over HTTP.

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use dyketally_proxy::stores::machine_list::MachineList;
use dyketally_proxy::stores::memory::MemoryMachineList;

/// Path of the machine list.
pub const PATH: &str = "/machines";

pub(super) fn routes(machines: MemoryMachineList) -> Router {
    Router::new().route(PATH, get(list)).with_state(machines)
}

async fn list(State(machines): State<MemoryMachineList>) -> Response {
    match machines.machines().await {
        Ok(machines) => Json(machines).into_response(),
        Err(error) => (StatusCode::SERVICE_UNAVAILABLE, error.to_string()).into_response(),
    }
}
