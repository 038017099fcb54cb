//! Carries the configuration between membership and the synchronizer: revisions that peers tell,
//! relays that follow from the live nodes, and pulls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::Event;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{mpsc, watch};

use crate::link::pull_configuration;
use crate::stores::dissemination::{Configuration, Dissemination, OutgoingPull, RelayAssignment};

use super::handle::PeersHandle;
use super::view::{LiveNodes, View};

/// What the carrier joins.
#[derive(Debug)]
pub struct Carrier {
    /// This node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Membership.
    pub peers: PeersHandle,
    /// The synchronizer.
    pub dissemination: Dissemination,
    /// Requests that the synchronizer wants to be sent.
    pub pulls: mpsc::Receiver<OutgoingPull>,
    /// Address translation: where to connect instead of to the key.
    pub routes: HashMap<SocketAddr, SocketAddr>,
}

impl Carrier {
    /// Runs until membership or the synchronizer ends.
    pub async fn run(mut self) {
        let mut events = self.peers.events();
        let mut views = self.peers.watch();
        let mut configurations = self.dissemination.configuration();
        let mut live = None;
        self.assign_relays(&mut views, &mut live).await;
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Ok(event) => self.pass_on(event),
                    // What was missed is told again with the next probes.
                    Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                },
                changed = views.changed() => match changed {
                    Ok(()) => self.assign_relays(&mut views, &mut live).await,
                    Err(_) => return,
                },
                changed = configurations.changed() => match changed {
                    Ok(()) => self.tell_revision(&mut configurations).await,
                    Err(_) => return,
                },
                pull = self.pulls.recv() => match pull {
                    Some(pull) => self.send(pull),
                    None => return,
                },
            }
        }
    }

    fn pass_on(&self, event: Event) {
        if let Event::RevisionSeen { node, revision } = event {
            self.dissemination.peer_revision(node, revision);
        }
    }

    async fn assign_relays(
        &self,
        views: &mut watch::Receiver<Arc<View>>,
        known: &mut Option<Arc<LiveNodes>>,
    ) {
        let live = views.borrow_and_update().live.clone();
        if known
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &live))
        {
            return;
        }
        let relays = RelayAssignment {
            zone_relays: live.relays(&self.locality),
            fleet_relays: live.count_relays(),
        };
        *known = Some(live);
        // A synchronizer that has stopped ends this task by its other channels.
        let _ = self.dissemination.set_relays(relays).await;
    }

    async fn tell_revision(&self, configurations: &mut watch::Receiver<Configuration>) {
        let revision = configurations.borrow_and_update().snapshot.revision;
        self.peers.set_revision(revision).await;
    }

    /// Sends one request; without an answer, the synchronizer asks another peer in time.
    fn send(&self, pull: OutgoingPull) {
        let view = self.peers.view();
        let Some(member) = view.member(&pull.peer) else {
            return;
        };
        let address = member.addresses.peers;
        let address = self.routes.get(&address).copied().unwrap_or(address);
        let (own, dissemination) = (self.node.clone(), self.dissemination.clone());
        tokio::spawn(async move {
            match pull_configuration(own, address, pull.request).await {
                Ok(reply) => {
                    // As above.
                    let _ = dissemination.pull_reply(pull.peer, reply).await;
                }
                Err(error) => log::debug!("pull from {} failed: {error}", pull.peer),
            }
        });
    }
}
