//! Accepting connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Accepts the next connection. After a failure it tries again behind `pause`.
///
/// A failure isn't logged: it is the peer's that has left already, or descriptors have run out, and then
/// each further try would write a line.
pub async fn accept(listener: &TcpListener, pause: Duration) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(pause).await,
        }
    }
}
