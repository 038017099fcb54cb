//! Acts on what membership finds out about nodes.

use std::sync::Arc;

use dyketally::identifiers::NodeName;
use dyketally::membership::Event;
use tokio::sync::broadcast::error::RecvError;
use tokio_util::sync::CancellationToken;

use crate::homes::Homes;
use crate::peers::PeersHandle;

/// Watches membership for a node.
#[derive(Debug)]
pub(super) struct MembershipWatcher {
    pub peers: PeersHandle,
    pub homes: Arc<Homes>,
    /// Cancelled when a newer process runs under this node's name.
    pub replaced: CancellationToken,
}

impl MembershipWatcher {
    /// Runs until membership ends.
    pub async fn run(self) {
        let mut events = self.peers.events();
        loop {
            match events.recv().await {
                Ok(Event::Died(node)) => self.close_link(&node),
                Ok(Event::Replaced) => {
                    log::error!(
                        "a newer process runs under this node's name: this one stops; give each node a name of its own"
                    );
                    self.replaced.cancel();
                }
                Ok(_) | Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            }
        }
    }

    /// What waits at a dead node ends as unknown, instead of waiting out its deadline.
    fn close_link(&self, node: &NodeName) {
        let view = self.peers.view();
        if let Some(member) = view.member(node) {
            self.homes.close_link(member.addresses.peers);
        }
    }
}
