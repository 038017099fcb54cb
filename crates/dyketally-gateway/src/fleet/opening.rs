//! What a node sends first on a connection to another one.

use std::net::SocketAddr;

use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::database::connection::prepare_socket;

/// Longest opening, in bytes.
const LONGEST_OPENING: usize = 512;

/// What a node sends first on a connection to another, after its length in two bytes.
#[derive(Debug, Serialize, Deserialize)]
pub enum Opening {
    /// Forward what follows to a database.
    Forward {
        /// The database.
        database: DatabaseName,
    },
    /// Calls to a home follow.
    Calls,
    /// The sender subscribes to the receiver's copy of the store.
    Feed,
}

/// Connects to the node at `address` for the purpose of `opening`.
///
/// # Errors
/// The node can't be reached.
pub async fn open(address: SocketAddr, opening: &Opening) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    prepare_socket(&stream);
    let body = postcard::to_stdvec(opening).map_err(std::io::Error::other)?;
    let mut message = (body.len() as u16).to_be_bytes().to_vec();
    message.extend(body);
    stream.write_all(&message).await?;
    Ok(stream)
}

/// Reads what the other node sent first.
///
/// # Errors
/// The connection broke, or it is no opening.
pub(super) async fn read(stream: &mut TcpStream) -> std::io::Result<Opening> {
    let length = usize::from(stream.read_u16().await?);
    if length > LONGEST_OPENING {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
}
