//! One relay: the way from one process to one address of another.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

use super::link::LinkWatch;
use super::{tcp, udp};

/// Attempts to find a port that is free for TCP and for UDP.
const BIND_ATTEMPTS: u32 = 32;

/// The two directions that a relay's traffic takes.
#[derive(Clone, Debug)]
pub(crate) struct Directions {
    pub(crate) forward: LinkWatch,
    pub(crate) backward: LinkWatch,
}

/// A running relay; stopped when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr, directions: Directions) -> io::Result<Self> {
        let (listener, socket) = bind_both().await?;
        let address = listener.local_addr()?;
        let tcp_task = tokio::spawn(tcp::serve(listener, target, directions.clone()));
        let udp_task = tokio::spawn(udp::serve(socket, target, directions));
        Ok(Self {
            address,
            tasks: vec![tcp_task, udp_task],
        })
    }

    /// Where the relay accepts what is meant for its target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn bind_both() -> io::Result<(TcpListener, UdpSocket)> {
    let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let mut attempt = 0;
    loop {
        let listener = TcpListener::bind(any_port).await?;
        let address = listener.local_addr()?;
        attempt += 1;
        match UdpSocket::bind(address).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempt == BIND_ATTEMPTS => return Err(error),
            Err(_) => {}
        }
    }
}
