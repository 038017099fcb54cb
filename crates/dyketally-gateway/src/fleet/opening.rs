//! Openings: the first message that a node sends on a TCP connection to another node. It states what the
//! connection is for.

use std::net::SocketAddr;

use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::database::connection::prepare_socket;

/// Longest opening that is accepted, in bytes, without its length prefix.
const LONGEST_OPENING: usize = 512;

/// The first message on a connection between nodes, sent after its length in two bytes, big-endian. It is
/// encoded in postcard, which depends on the order of variants and fields.
#[derive(Debug, Serialize, Deserialize)]
pub enum Opening {
    /// Asks the receiver to forward all further bytes to and from a database.
    Forward {
        /// The database.
        database: DatabaseName,
    },
    /// Announces calls to the receiver as a home; see [`Call`](super::link::Call).
    Calls,
    /// Subscribes the sender to the receiver's copy of the store.
    Feed,
}

/// Connects to the node at `address` and sends it `opening`.
///
/// # Errors
/// The node can't be reached, or the opening can't be sent.
pub async fn open(address: SocketAddr, opening: &Opening) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    prepare_socket(&stream);
    let body = postcard::to_stdvec(opening).map_err(std::io::Error::other)?;
    let mut message = (body.len() as u16).to_be_bytes().to_vec();
    message.extend(body);
    stream.write_all(&message).await?;
    Ok(stream)
}

/// Reads the opening from a connection that another node opened.
///
/// # Errors
/// The connection broke, or the bytes aren't an opening of at most `LONGEST_OPENING` bytes.
pub(super) async fn read(stream: &mut TcpStream) -> std::io::Result<Opening> {
    let length = usize::from(stream.read_u16().await?);
    if length > LONGEST_OPENING {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
}
