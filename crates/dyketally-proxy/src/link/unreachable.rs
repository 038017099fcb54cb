//! Nodes to which no link could be opened a moment ago.
//!
//! Membership takes seconds to declare a node dead. A refused connection says at once that no
//! process listens there; meanwhile the database's next home serves in its place.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which a node is passed over before a link is tried again.
const PASSED_OVER_FOR: Duration = Duration::from_millis(500);

/// The nodes that are passed over, by the address at which they accept links.
#[derive(Debug, Default)]
pub(super) struct UnreachableNodes {
    until: Mutex<HashMap<SocketAddr, Instant>>,
}

impl UnreachableNodes {
    /// No link could be opened to the node at `address`.
    pub fn mark(&self, address: SocketAddr) {
        let until = Instant::now() + PASSED_OVER_FOR;
        self.lock().insert(address, until);
    }

    /// The node at `address` answered.
    pub fn clear(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// True while the node at `address` is passed over.
    pub fn contains(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        self.lock().get(&address).is_some_and(|until| *until > now)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
