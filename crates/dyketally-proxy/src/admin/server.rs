//! The HTTP server of the admin address.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::metrics::Metrics;
use super::status::{NodeStatus, Readiness, StatusSource};
use super::status_metrics::add_gauges;

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

type Source = Arc<dyn StatusSource>;

/// The routes of the admin address.
pub fn router(source: Arc<dyn StatusSource>) -> Router {
    Router::new()
        .route("/healthz", get(healthz))
        .route("/readyz", get(readyz))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .with_state(source)
}

/// Serves the routes until `stopped` is cancelled and the answers in flight are sent.
pub async fn serve(
    listener: TcpListener,
    source: Arc<dyn StatusSource>,
    stopped: CancellationToken,
) -> std::io::Result<()> {
    axum::serve(listener, router(source))
        .with_graceful_shutdown(stopped.cancelled_owned())
        .await
}

async fn healthz() -> &'static str {
    "ok\n"
}

async fn readyz(State(source): State<Source>) -> Response {
    match source.readiness() {
        Readiness::Ready => "ready\n".into_response(),
        Readiness::NotReady { reason } => {
            (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response()
        }
    }
}

async fn status(State(source): State<Source>) -> Json<NodeStatus> {
    Json(source.status().await)
}

async fn metrics(State(source): State<Source>) -> Response {
    let mut metrics = Metrics::default();
    add_gauges(&mut metrics, &source.status().await);
    source.add_counters(&mut metrics);
    match metrics.to_text() {
        Ok(text) => ([(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)], text).into_response(),
        Err(error) => {
            let message =
                format!("the metrics can't be encoded: {error}; report this as a defect\n");
            (StatusCode::INTERNAL_SERVER_ERROR, message).into_response()
        }
    }
}
