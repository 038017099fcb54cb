//! Accepting connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Accepts the next connection. Waits for `pause` after each failed attempt.
///
/// Failures aren't logged. Either the peer has closed the connection already, or the process has run out of
/// file descriptors, in which case every further attempt would write a line.
pub async fn accept(listener: &TcpListener, pause: Duration) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(pause).await,
        }
    }
}
