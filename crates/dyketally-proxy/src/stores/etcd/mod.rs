//! The key-value service over etcd v3's published JSON gateway.

mod convert;
mod transport;
mod watch;

use std::time::Duration;

use async_trait::async_trait;

use self::transport::{Effect, Transport};
use super::key_value::{
    KeyValueStore, Lease, LeaseId, PutRequest, RangeReply, RangeRequest, StoreRevision,
    TransactionReply, TransactionRequest, WatchRequest, WatchStream,
};
use super::store_error::StoreError;
use super::wire::{self, path};

/// Time for a connection to be set up.
pub const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from a request to its reply.
pub const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Where the service is and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EtcdSettings {
    /// URLs of the gateway's members, tried in turn; without a path.
    pub endpoints: Vec<String>,
    /// Time for a connection to be set up.
    pub connect_timeout: Duration,
    /// Time from a request to its reply. A watch is bounded only until it is established.
    pub request_timeout: Duration,
}

impl EtcdSettings {
    /// One endpoint with the default timeouts.
    pub fn new(endpoint: impl Into<String>) -> Self {
        Self {
            endpoints: vec![endpoint.into()],
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            request_timeout: DEFAULT_REQUEST_TIMEOUT,
        }
    }
}

/// A client of the gateway.
#[derive(Debug)]
pub struct EtcdGateway {
    transport: Transport,
}

impl EtcdGateway {
    /// Sets the client up; connects at the first request.
    ///
    /// # Errors
    /// When no endpoint is given or the HTTP client can't be set up.
    pub fn new(settings: EtcdSettings) -> Result<Self, StoreError> {
        let transport = Transport::new(settings)?;
        Ok(Self { transport })
    }
}

#[async_trait]
impl KeyValueStore for EtcdGateway {
    async fn range(&self, request: RangeRequest) -> Result<RangeReply, StoreError> {
        let request = wire::RangeRequest::from(request);
        let response: wire::RangeResponse = self
            .transport
            .call(path::RANGE, &request, Effect::Reads)
            .await?;
        Ok(response.into())
    }

    async fn transact(&self, request: TransactionRequest) -> Result<TransactionReply, StoreError> {
        let effect = match request.only_reads() {
            true => Effect::Reads,
            false => Effect::Changes,
        };
        let request = wire::TransactionRequest::from(request);
        let response: wire::TransactionResponse = self
            .transport
            .call(path::TRANSACTION, &request, effect)
            .await?;
        Ok(response.into())
    }

    async fn put(&self, request: PutRequest) -> Result<StoreRevision, StoreError> {
        let request = wire::PutRequest::from(request);
        let response: wire::PutResponse = self
            .transport
            .call(path::PUT, &request, Effect::Changes)
            .await?;
        Ok(convert::store_revision(&response.header))
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<Lease, StoreError> {
        let request = wire::LeaseGrantRequest {
            time_to_live: convert::whole_seconds(time_to_live),
            ..Default::default()
        };
        let response: wire::LeaseGrantResponse = self
            .transport
            .call(path::LEASE_GRANT, &request, Effect::Changes)
            .await?;
        Ok(Lease {
            id: LeaseId(response.id.0),
            time_to_live: Duration::from_secs(response.time_to_live.unsigned()),
        })
    }

    async fn keep_lease_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let request = wire::LeaseKeepAliveRequest {
            id: wire::Int64(lease.0),
        };
        let response: wire::LeaseKeepAliveResponse = self
            .transport
            .call_streamed(path::LEASE_KEEP_ALIVE, &request)
            .await?;
        match response.time_to_live.unsigned() {
            0 => Err(StoreError::LeaseLapsed { lease }),
            seconds => Ok(Duration::from_secs(seconds)),
        }
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = wire::LeaseRevokeRequest {
            id: wire::Int64(lease.0),
        };
        let result: Result<wire::LeaseRevokeResponse, _> = self
            .transport
            .call(path::LEASE_REVOKE, &request, Effect::Changes)
            .await;
        match result {
            Err(StoreError::LeaseLapsed { .. }) => Err(StoreError::LeaseLapsed { lease }),
            other => other.map(|_| ()),
        }
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchStream, StoreError> {
        let request = wire::WatchRequest::from(request);
        let body = self.transport.open(path::WATCH, &request).await?;
        Ok(watch::batches(body))
    }
}
