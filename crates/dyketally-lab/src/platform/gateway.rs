//! The JSON gateway of the key-value service.

use std::io;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::header;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use dyketally_proxy::stores::StoreError;
use dyketally_proxy::stores::key_value::{LeaseId, WatchBatch};
use dyketally_proxy::stores::memory::{Completed, MemoryStore};
use dyketally_proxy::stores::wire::{self, Int64, StreamItem, path};
use futures::{StreamExt, stream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::convert;
use super::failure::GatewayFailure;

type Handled = Result<Response, GatewayFailure>;

pub(super) fn routes(store: MemoryStore) -> Router {
    Router::new()
        .route(path::RANGE, post(range))
        .route(path::PUT, post(put))
        .route(path::TRANSACTION, post(transact))
        .route(path::LEASE_GRANT, post(grant))
        .route(path::LEASE_KEEP_ALIVE, post(keep_alive))
        .route(path::LEASE_REVOKE, post(revoke))
        .route(path::WATCH, post(watch))
        .with_state(store)
}

async fn range(State(store): State<MemoryStore>, body: Bytes) -> Handled {
    let request: wire::RangeRequest = parse(&body)?;
    admit(&store).await?;
    let completed = store.read(&convert::range_request(request));
    respond(completed, convert::range_response)
}

async fn put(State(store): State<MemoryStore>, body: Bytes) -> Handled {
    let request: wire::PutRequest = parse(&body)?;
    admit(&store).await?;
    let completed = store.set(convert::put_request(request));
    respond(completed, |revision| wire::PutResponse {
        header: convert::header(revision),
    })
}

async fn transact(State(store): State<MemoryStore>, body: Bytes) -> Handled {
    let request: wire::TransactionRequest = parse(&body)?;
    let request = convert::transaction_request(request).map_err(GatewayFailure::invalid)?;
    admit(&store).await?;
    respond(store.apply(request), convert::transaction_response)
}

async fn grant(State(store): State<MemoryStore>, body: Bytes) -> Handled {
    let request: wire::LeaseGrantRequest = parse(&body)?;
    admit(&store).await?;
    let time_to_live = Duration::from_secs(request.time_to_live.unsigned());
    let header = convert::header(store.newest());
    respond(store.grant(time_to_live), |lease| {
        wire::LeaseGrantResponse {
            header,
            id: Int64(lease.id.0),
            time_to_live: Int64::from_unsigned(lease.time_to_live.as_secs()),
        }
    })
}

async fn keep_alive(State(store): State<MemoryStore>, body: Bytes) -> Handled {
    let request: wire::LeaseKeepAliveRequest = parse(&body)?;
    admit(&store).await?;
    let header = convert::header(store.newest());
    let Completed { result, reply_lost } = store.keep_alive(LeaseId(request.id.0));
    // The service tells of a lapsed lease by a time to live of zero.
    let seconds = result.map_or(0, |time_to_live| time_to_live.as_secs());
    let response = wire::LeaseKeepAliveResponse {
        header,
        id: request.id,
        time_to_live: Int64::from_unsigned(seconds),
    };
    let completed = Completed {
        result: Ok(response),
        reply_lost,
    };
    respond(completed, |response| StreamItem {
        result: Some(response),
        error: None,
    })
}

async fn revoke(State(store): State<MemoryStore>, body: Bytes) -> Handled {
    let request: wire::LeaseRevokeRequest = parse(&body)?;
    admit(&store).await?;
    let completed = store.revoke(LeaseId(request.id.0));
    respond(completed, |()| wire::LeaseRevokeResponse {
        header: convert::header(store.newest()),
    })
}

async fn watch(State(store): State<MemoryStore>, body: Bytes) -> Handled {
    let request: wire::WatchRequest = parse(&body)?;
    admit(&store).await?;
    let batches = store.follow(convert::watch_request(request)).enumerate();
    let lines = batches.map(move |(index, batch)| watch_line(&store, index == 0, batch));
    Ok(json(Body::from_stream(lines)))
}

fn watch_line(
    store: &MemoryStore,
    first: bool,
    batch: Result<WatchBatch, StoreError>,
) -> io::Result<Bytes> {
    let response = match batch {
        Ok(batch) => convert::watch_response(batch, first),
        Err(StoreError::Compacted) => wire::WatchResponse {
            canceled: true,
            compact_revision: Int64::from_unsigned(store.compacted().next().0),
            ..Default::default()
        },
        Err(error) => return Err(io::Error::other(error)),
    };
    let item = StreamItem {
        result: Some(response),
        error: None,
    };
    let mut line = serde_json::to_vec(&item)?;
    line.push(b'\n');
    Ok(Bytes::from(line))
}

fn parse<Request: DeserializeOwned>(body: &[u8]) -> Result<Request, GatewayFailure> {
    serde_json::from_slice(body).map_err(GatewayFailure::invalid)
}

async fn admit(store: &MemoryStore) -> Result<(), GatewayFailure> {
    Ok(store.admit().await?)
}

fn respond<Reply, Message: Serialize>(
    completed: Completed<Reply>,
    message: impl FnOnce(Reply) -> Message,
) -> Handled {
    if completed.reply_lost {
        return Ok(broken_reply());
    }
    let reply = completed.result?;
    let body = serde_json::to_vec(&message(reply)).map_err(GatewayFailure::invalid)?;
    Ok(json(Body::from(body)))
}

/// A reply whose connection breaks before its first byte of content.
fn broken_reply() -> Response {
    let broken = io::Error::other("the reply is lost");
    json(Body::from_stream(stream::iter([Err::<Bytes, _>(broken)])))
}

fn json(body: Body) -> Response {
    ([(header::CONTENT_TYPE, "application/json")], body).into_response()
}
