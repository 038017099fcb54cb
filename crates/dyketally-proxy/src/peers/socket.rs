//! What membership needs of a socket: a program that embeds it may bring its own.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// Sends and receives datagrams.
pub trait DatagramSocket: Send + Sync + 'static {
    /// The address that others reach this socket at.
    ///
    /// # Errors
    /// When the system can't tell.
    fn local_addr(&self) -> io::Result<SocketAddr>;

    /// Waits for a datagram; gives its length and sender. Loses nothing when dropped early.
    fn receive(
        &self,
        buffer: &mut [u8],
    ) -> impl Future<Output = io::Result<(usize, SocketAddr)>> + Send;

    /// Sends a datagram without waiting.
    ///
    /// # Errors
    /// When it can't be sent now; it then counts as lost.
    fn try_send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize>;
}

impl DatagramSocket for UdpSocket {
    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }

    fn try_send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize> {
        self.try_send_to(datagram, to)
    }
}
