//! Addresses that nobody listens on, kept free for the site that asked for them.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use rand::Rng;

/// The first port to choose from. All lie below those that systems take for outgoing connections,
/// so a chosen one is not taken for such a connection before its process listens on it.
const FIRST_PORT: u16 = 12_000;

/// Ports of one block. The first port of a block is held while the others are in use, so that
/// sites of several processes never share a block.
const BLOCK_PORTS: u16 = 64;

/// Blocks to choose from.
const BLOCKS: u16 = 312;

/// Requests for addresses whose blocks stay held; the blocks of earlier ones are given back.
const REQUESTS_HELD: usize = 8;

type BlockHolders = Vec<TcpListener>;

static HELD: Mutex<VecDeque<BlockHolders>> = Mutex::new(VecDeque::new());

/// Loopback addresses that are free for TCP and for UDP, all different.
///
/// No other caller of this function gets them, in this process or another one, until this process
/// ends or has asked for addresses many times again.
///
/// # Errors
/// When not enough ports can be had.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut holders = BlockHolders::new();
    let mut addresses = Vec::with_capacity(count);
    let first = rand::rng().random_range(0..BLOCKS);
    for step in 0..BLOCKS {
        if addresses.len() >= count {
            break;
        }
        let block = (first + step) % BLOCKS;
        if let Ok(holder) = hold_block(block) {
            holders.push(holder);
            addresses.extend(free_in_block(block));
        }
    }
    if addresses.len() < count {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    }
    addresses.truncate(count);
    keep(holders);
    Ok(addresses)
}

fn hold_block(block: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, first_port(block)))
}

fn free_in_block(block: u16) -> impl Iterator<Item = SocketAddr> {
    let first = first_port(block);
    let ports = first + 1..first + BLOCK_PORTS;
    let addresses = ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    addresses.filter(is_free)
}

fn is_free(address: &SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

fn first_port(block: u16) -> u16 {
    FIRST_PORT + block * BLOCK_PORTS
}

fn keep(holders: BlockHolders) {
    let mut held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
    held.push_back(holders);
    if held.len() > REQUESTS_HELD {
        held.pop_front();
    }
}
