//! Control requests of the network, over HTTP with JSON bodies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::link::{Passage, Place};
use super::start::Shared;

/// How one process reaches one address of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// The process that connects.
    pub source: String,
    /// The process that is reached.
    pub destination: String,
    /// Where the reached process listens.
    pub to: SocketAddr,
    /// The relay that the connecting process must use instead.
    pub via: SocketAddr,
}

/// Cuts the links that lead from one place to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CutRequest {
    /// Where the cut traffic comes from.
    pub from: Place,
    /// Where the cut traffic goes to.
    pub to: Place,
    /// Whether the opposite direction is cut too.
    pub both_ways: bool,
    /// [`Passage::Held`] or [`Passage::Reset`].
    pub passage: Passage,
}

/// Opens the links between two places again, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealRequest {
    /// One side.
    pub from: Place,
    /// The other side.
    pub to: Place,
}

/// Sets the delay between two places, in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelayRequest {
    /// One side.
    pub from: Place,
    /// The other side.
    pub to: Place,
    /// One-way delay in milliseconds.
    pub one_way_ms: f64,
}

/// How many links a request changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changed {
    /// Directed links.
    pub links: usize,
}

type ControlReply = Result<Json<Changed>, (StatusCode, &'static str)>;

/// Answers control requests until the task is stopped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let router = Router::new()
        .route("/routes", get(routes))
        .route("/cut", post(cut))
        .route("/heal", post(heal))
        .route("/delay", post(delay))
        .with_state(shared);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("the network's control address stopped; start the network again: {error}");
    }
}

async fn routes(State(shared): State<Arc<Shared>>) -> Json<Vec<RouteEntry>> {
    Json(shared.routes.clone())
}

async fn cut(State(shared): State<Arc<Shared>>, Json(request): Json<CutRequest>) -> ControlReply {
    let CutRequest {
        from,
        to,
        both_ways,
        passage,
    } = request;
    let mut links = set_passage(&shared, &from, &to, passage);
    if both_ways {
        links += set_passage(&shared, &to, &from, passage);
    }
    changed(links)
}

async fn heal(State(shared): State<Arc<Shared>>, Json(request): Json<HealRequest>) -> ControlReply {
    let HealRequest { from, to } = request;
    let forward = set_passage(&shared, &from, &to, Passage::Open);
    let backward = set_passage(&shared, &to, &from, Passage::Open);
    changed(forward + backward)
}

async fn delay(
    State(shared): State<Arc<Shared>>,
    Json(request): Json<DelayRequest>,
) -> ControlReply {
    let DelayRequest {
        from,
        to,
        one_way_ms,
    } = request;
    let delay = Duration::try_from_secs_f64(one_way_ms / 1_000.0).map_err(|_| {
        let remedy = "the delay must be zero or more milliseconds";
        (StatusCode::BAD_REQUEST, remedy)
    })?;
    let selected = shared
        .links
        .iter()
        .filter(|link| link.is_selected(&from, &to) || link.is_selected(&to, &from));
    let links = selected.map(|link| link.set_delay(delay)).count();
    changed(links)
}

fn set_passage(shared: &Shared, from: &Place, to: &Place, passage: Passage) -> usize {
    let selected = shared
        .links
        .iter()
        .filter(|link| link.is_selected(from, to));
    selected.map(|link| link.set_passage(passage)).count()
}

fn changed(links: usize) -> ControlReply {
    if links == 0 {
        let remedy = "no link matches; name zones and processes as in the network's settings";
        return Err((StatusCode::NOT_FOUND, remedy));
    }
    Ok(Json(Changed { links }))
}
