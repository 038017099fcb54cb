//! Links between edges and homes: many requests in flight on one connection, replies in any order.

mod client;
mod pull;
mod server;
mod unreachable;

use std::time::Duration;

use dyketally_protocol::{EdgeMessage, FrameError, HomeMessage, LinkCodec, PROTOCOL_VERSION};

pub use client::LinkPool;
pub use pull::pull_configuration;
pub use server::{LinkServer, serve_links};

/// The edge's end of a link.
type EdgeCodec = LinkCodec<EdgeMessage, HomeMessage>;
/// The home's end of a link.
type HomeCodec = LinkCodec<HomeMessage, EdgeMessage>;

/// Time within which a peer must accept a connection and answer the hello.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a link could not be opened or ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The frames are broken or the connection is.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer speaks another version.
    #[error(
        "the peer {node} speaks version {version} of the link protocol, this node {PROTOCOL_VERSION}; upgrade the older of the two"
    )]
    Version {
        /// The peer.
        node: String,
        /// Its version.
        version: u16,
    },
    /// The peer didn't begin with a hello.
    #[error(
        "the peer did not begin with a hello; check that the address is the peer address of a dyketallyd"
    )]
    NoHello,
    /// The peer didn't answer in time.
    #[error("the peer did not answer within {HANDSHAKE_TIMEOUT:?}; it may be restarting")]
    Timeout,
    /// The peer closed the link.
    #[error("the peer closed the link; it may be restarting")]
    Closed,
    /// The peer has no configuration to pass on.
    #[error("the peer keeps no configuration that others can pull; ask another node")]
    NoConfiguration,
    /// The peer sent more data than it was allowed to.
    #[error(
        "the peer sent more reply data than was granted; check that it runs a compatible version"
    )]
    Overrun,
}

impl From<std::io::Error> for LinkError {
    fn from(error: std::io::Error) -> Self {
        LinkError::Frame(FrameError::Io(error))
    }
}

fn check_version(node: &dyketally::identifiers::NodeName, version: u16) -> Result<(), LinkError> {
    if version == PROTOCOL_VERSION {
        return Ok(());
    }
    Err(LinkError::Version {
        node: node.to_string(),
        version,
    })
}
