//! A key-value service that fails after the first change has taken effect.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{StatusCode, Uri};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const CHANGE_PATH: &str = "/v3/kv/txn";

/// Passes requests on up to the first transaction that changes something; its reply, and all
/// requests after it, are answered with an error.
pub struct LossyService {
    url: String,
    server: JoinHandle<()>,
}

struct Upstream {
    url: String,
    client: reqwest::Client,
    failed: AtomicBool,
}

impl LossyService {
    pub async fn start(upstream: &str) -> Self {
        let upstream = Upstream {
            url: upstream.trim_end_matches('/').to_owned(),
            client: reqwest::Client::new(),
            failed: AtomicBool::new(false),
        };
        let router = Router::new()
            .fallback(pass_on)
            .with_state(Arc::new(upstream));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let url = format!("http://{}", listener.local_addr().expect("address"));
        let server = tokio::spawn(async move {
            axum::serve(listener, router).await.expect("server");
        });
        Self { url, server }
    }

    pub fn url(&self) -> &str {
        &self.url
    }
}

impl Drop for LossyService {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn pass_on(
    State(upstream): State<Arc<Upstream>>,
    uri: Uri,
    body: Bytes,
) -> Result<Bytes, StatusCode> {
    if upstream.failed.load(Ordering::SeqCst) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let changes = uri.path() == CHANGE_PATH && contains(&body, b"request_put");
    let url = format!("{}{}", upstream.url, uri.path());
    let request = upstream.client.post(url).body(body);
    let response = request.send().await.map_err(|_| StatusCode::BAD_GATEWAY)?;
    let reply = response
        .bytes()
        .await
        .map_err(|_| StatusCode::BAD_GATEWAY)?;
    if changes {
        upstream.failed.store(true, Ordering::SeqCst);
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(reply)
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}
