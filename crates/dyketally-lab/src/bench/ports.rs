//! Addresses that nobody listens on.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use rand::Rng;

/// Ports to choose from. They lie below those that systems take for outgoing connections, so a
/// chosen one is not taken for such a connection before its process listens on it.
const PORTS: Range<u16> = 12_000..32_000;

/// Attempts in all before the search for ports that are free for TCP and UDP is given up.
const SPARE_ATTEMPTS: usize = 1_000;

/// Loopback addresses that are free for TCP and for UDP, all different.
///
/// They are free when this returns; another process may take one before it is used.
///
/// # Errors
/// When no port can be had.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut held = Vec::with_capacity(count);
    let mut attempts = 0;
    while held.len() < count {
        attempts += 1;
        match hold_address() {
            Ok(holder) => held.push(holder),
            Err(error) if attempts > count + SPARE_ATTEMPTS => return Err(error),
            Err(_) => {}
        }
    }
    let addresses = held.iter().map(|(listener, _)| listener.local_addr());
    addresses.collect()
}

fn hold_address() -> io::Result<(TcpListener, UdpSocket)> {
    let port = rand::rng().random_range(PORTS);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    let socket = UdpSocket::bind(listener.local_addr()?)?;
    Ok((listener, socket))
}
