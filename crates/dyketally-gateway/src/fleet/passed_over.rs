//! Nodes that are left alone for a while after they failed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// How long a node that failed is passed over: most come back, or are replaced, within seconds. Not
/// measured.
const PASSED_OVER: Duration = Duration::from_millis(1_500);

/// Nodes that failed lately.
#[derive(Debug, Default)]
pub struct PassedOver {
    since: RefCell<HashMap<SocketAddr, Instant>>,
}

impl PassedOver {
    /// Passes over a node for a while.
    pub fn add(&self, node: SocketAddr) {
        let mut since = self.since.borrow_mut();
        since.retain(|_, at| at.elapsed() < PASSED_OVER);
        since.insert(node, Instant::now());
    }

    /// True when a node is passed over.
    pub fn contains(&self, node: &SocketAddr) -> bool {
        let since = self.since.borrow();
        let at = since.get(node);
        at.is_some_and(|at| at.elapsed() < PASSED_OVER)
    }
}
