//! Binds the TCP sockets that a process listens on.

use std::net::SocketAddr;

use eyre::WrapErr;
use tokio::net::TcpListener;

/// Listens on `address`, which is set in the settings under `field`.
///
/// # Errors
/// The address can't be bound.
pub(super) async fn bind(address: SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| {
        format!("can't listen on {address}; choose a free address of this machine in `{field}`")
    })
}
