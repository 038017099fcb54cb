//! Pulls of the configuration between nodes: a short connection of its own for each.
//!
//! A change may hold 256 KiB and a reply 64 KiB, far more than a datagram, and is not needed more
//! than once by a node: TCP carries it at a pace that fits the path, and a connection that does
//! not wait behind statements keeps a slow link from holding the configuration back.

use std::net::SocketAddr;

use dyketally::configuration::sync::{PullReply, PullRequest};
use dyketally::identifiers::NodeName;
use dyketally_protocol::{EdgeMessage, Hello, HomeMessage, PROTOCOL_VERSION};
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use super::client::open;
use super::{HANDSHAKE_TIMEOUT, HomeCodec, LinkError, check_version};
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

/// Answers pulls and nothing else until `stop` is cancelled: for a node without homes.
pub async fn serve_pulls(
    listener: TcpListener,
    own: NodeName,
    configuration: Dissemination,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(crate::edge::ACCEPT_PAUSE).await;
            continue;
        };
        let served = serve(stream, own.clone(), configuration.clone());
        tokio::spawn(async move {
            match tokio::time::timeout(HANDSHAKE_TIMEOUT, served).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!("pull from {address} ended: {error}"),
                Err(_) => log::debug!("pull from {address} took too long"),
            }
        });
    }
}

async fn serve(
    stream: TcpStream,
    own: NodeName,
    configuration: Dissemination,
) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, HomeCodec::default());
    let hello = match frames.next().await.ok_or(LinkError::Closed)?? {
        EdgeMessage::Hello(hello) => hello,
        _ => return Err(LinkError::NoHello),
    };
    let answer = Hello {
        version: PROTOCOL_VERSION,
        node: own,
    };
    frames.send(HomeMessage::Hello(answer)).await?;
    check_version(&hello.node, hello.version)?;
    while let Some(message) = frames.next().await {
        let EdgeMessage::PullConfiguration(request) = message? else {
            return Err(LinkError::NoHello);
        };
        let reply = answer_pull(Some(&configuration), request).await?;
        frames.send(HomeMessage::Configuration(reply)).await?;
    }
    Ok(())
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
