//! Pulls of the configuration between nodes: a short connection of its own for each.
//!
//! A change may hold 256 KiB and a reply 64 KiB, far more than a datagram, and is not needed more
//! than once by a node: TCP carries it at a pace that fits the path, and a connection that does
//! not wait behind statements keeps a slow link from holding the configuration back.

use std::net::SocketAddr;

use dyketally::configuration::sync::{PullReply, PullRequest};
use dyketally::identifiers::NodeName;
use dyketally_protocol::{EdgeMessage, HomeMessage};
use futures::{SinkExt, StreamExt};

use super::client::open;
use super::{HANDSHAKE_TIMEOUT, LinkError};
use crate::stores::dissemination::Dissemination;

/// Asks the node at `address` for what is missing.
///
/// # Errors
/// Tells why there is no answer within the time for a handshake.
pub async fn pull_configuration(
    own: NodeName,
    address: SocketAddr,
    request: PullRequest,
) -> Result<PullReply, LinkError> {
    let exchange = exchange(own, address, request);
    let answered = tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await;
    answered.unwrap_or(Err(LinkError::Timeout))
}

async fn exchange(
    own: NodeName,
    address: SocketAddr,
    request: PullRequest,
) -> Result<PullReply, LinkError> {
    let mut frames = open(own, address).await?;
    frames.send(EdgeMessage::PullConfiguration(request)).await?;
    match frames.next().await.ok_or(LinkError::Closed)?? {
        HomeMessage::Configuration(reply) => Ok(reply),
        _ => Err(LinkError::NoHello),
    }
}

/// The answer of a node whose configuration, if others may pull it, is `configuration`.
pub(super) async fn answer_pull(
    configuration: Option<&Dissemination>,
    request: PullRequest,
) -> Result<PullReply, LinkError> {
    let configuration = configuration.ok_or(LinkError::NoConfiguration)?;
    let reply = configuration.pull_request(request).await;
    reply.map_err(|_| LinkError::NoConfiguration)
}
