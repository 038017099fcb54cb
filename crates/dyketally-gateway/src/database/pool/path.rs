//! Which way a pool reaches its database: directly, or forwarded by another node while this one is cut
//! off from the database.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Pool;
use crate::database::connection::Route;

/// How long connections are forwarded by a node without its being found again; a primary that stays
/// silent is probed each 0.2 s, and a search for such a node takes up to 0.45 s. Not measured.
const FORWARDER_HOLDS: Duration = Duration::from_millis(2_500);

/// The way to one database.
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
            Some((node, since)) if since.elapsed() < FORWARDER_HOLDS => Route::Forwarded(node),
            _ => Route::Direct(self.address),
        }
    }
}

impl Pool {
    /// Where the pool's database accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.path.address
    }

    /// Reaches the database by way of the node at `forwarder` for a while. Connections that are idle now
    /// run over a path that is broken, so they are closed.
    pub fn forward_by(&self, forwarder: SocketAddr) {
        if self.path.forwarder.get().is_none() {
            self.close_idle(true);
        }
        let found = (forwarder, Instant::now());
        self.path.forwarder.set(Some(found));
    }

    /// True while the database is reached by way of another node.
    pub fn is_forwarded(&self) -> bool {
        matches!(self.path.route(), Route::Forwarded(_))
    }

    /// Reaches the database directly again.
    pub fn reach_directly(&self) {
        self.path.forwarder.set(None);
    }
}
