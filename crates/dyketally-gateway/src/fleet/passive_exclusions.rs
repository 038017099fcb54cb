//! Nodes that are excluded from use for a while after requests that they left unanswered.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// How long a node that failed is excluded: most recover or are replaced within seconds.
const EXCLUSION_TIME: Duration = Duration::from_millis(1_500);

/// Nodes that are excluded, each with the time since when.
#[derive(Debug, Default)]
pub struct Exclusions {
    since: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Exclusions {
    /// Excludes a node for `EXCLUSION_TIME` from now on.
    pub fn add(&self, node: SocketAddr) {
        let mut since = self.since.borrow_mut();
        since.retain(|_, at| at.elapsed() < EXCLUSION_TIME);
        since.insert(node, Instant::now());
    }

    /// True while a node is excluded.
    pub fn contains(&self, node: &SocketAddr) -> bool {
        let since = self.since.borrow();
        let at = since.get(node);
        at.is_some_and(|at| at.elapsed() < EXCLUSION_TIME)
    }
}
