//! The path of a pool to its database: direct, or forwarded by another node while this node can't reach the
//! database.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Pool;
use crate::database::connection::Route;

/// How long connections are forwarded through a node before the search has to find it again. A silent primary
/// is probed every 0.2 s, and a search for a forwarding node takes up to 0.45 s.
const FORWARDER_LIFETIME: Duration = Duration::from_millis(2_500);

/// The path to one database.
#[derive(Debug)]
pub(super) struct Path {
    address: SocketAddr,
    /// The node that forwards connections, and when it was found.
    forwarder: Cell<Option<(SocketAddr, Instant)>>,
}

impl Path {
    pub(super) fn direct(address: SocketAddr) -> Self {
        Self {
            address,
            forwarder: Cell::new(None),
        }
    }

    pub(super) fn route(&self) -> Route {
        match self.forwarder.get() {
            Some((node, since)) if since.elapsed() < FORWARDER_LIFETIME => Route::Forwarded(node),
            _ => Route::Direct(self.address),
        }
    }
}

impl Pool {
    /// Where the pool's database accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.path.address
    }

    /// Opens connections through the node at `forwarder` for the next `FORWARDER_LIFETIME`. Idle connections use
    /// the broken direct path, so they are closed.
    pub fn forward_through(&self, forwarder: SocketAddr) {
        if self.path.forwarder.get().is_none() {
            self.close_idle(true);
        }
        let found = (forwarder, Instant::now());
        self.path.forwarder.set(Some(found));
    }

    /// True while new connections are forwarded by another node.
    pub fn is_forwarded(&self) -> bool {
        matches!(self.path.route(), Route::Forwarded(_))
    }

    /// Opens connections directly again.
    pub fn reach_directly(&self) {
        self.path.forwarder.set(None);
    }
}
