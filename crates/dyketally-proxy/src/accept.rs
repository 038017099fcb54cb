//! Accepting connections, whatever comes of a single attempt.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection could not be accepted: usually the process is out of files, and a loop
/// without a pause would keep a core busy until one is closed. Not measured.
const PAUSE: Duration = Duration::from_millis(100);

/// The next connection. An attempt that fails is logged and made again.
pub(crate) async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
