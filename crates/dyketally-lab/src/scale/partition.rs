//! Cuts between regions, made at the sockets of the hollow nodes.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use dyketally_proxy::peers::DatagramSocket;
use tokio::net::UdpSocket;

const NOTHING_CUT: usize = usize::MAX;

/// The loopback address of the nodes of a region.
pub fn address_of_region(region: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, region as u8 + 1, 1)
}

fn region_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(address) => usize::from(address.octets()[2]).wrapping_sub(1),
        IpAddr::V6(_) => NOTHING_CUT,
    }
}

/// The region that is cut off from the others, if any.
#[derive(Debug)]
pub struct Cut {
    region: AtomicUsize,
}

impl Default for Cut {
    fn default() -> Self {
        Self {
            region: AtomicUsize::new(NOTHING_CUT),
        }
    }
}

impl Cut {
    /// Cuts `region` off from all others.
    pub fn cut_off(&self, region: usize) {
        self.region.store(region, Ordering::Relaxed);
    }

    /// Joins all regions again.
    pub fn heal(&self) {
        self.region.store(NOTHING_CUT, Ordering::Relaxed);
    }

    fn separates(&self, one: SocketAddr, other: SocketAddr) -> bool {
        let cut = self.region.load(Ordering::Relaxed);
        cut != NOTHING_CUT && (region_of(one) == cut) != (region_of(other) == cut)
    }
}

/// A UDP socket whose datagrams across a cut are lost.
#[derive(Debug)]
pub struct CutSocket {
    socket: UdpSocket,
    address: SocketAddr,
    cut: Arc<Cut>,
}

impl CutSocket {
    /// Binds any free port of the region's address.
    ///
    /// # Errors
    /// When the system has no port.
    pub async fn bind(region: usize, cut: Arc<Cut>) -> io::Result<Self> {
        let socket = UdpSocket::bind((address_of_region(region), 0)).await?;
        Ok(Self {
            address: socket.local_addr()?,
            socket,
            cut,
        })
    }
}

impl DatagramSocket for CutSocket {
    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            let (length, from) = self.socket.recv_from(buffer).await?;
            if !self.cut.separates(self.address, from) {
                return Ok((length, from));
            }
        }
    }

    fn try_send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize> {
        if self.cut.separates(self.address, to) {
            return Ok(datagram.len());
        }
        self.socket.try_send_to(datagram, to)
    }
}
