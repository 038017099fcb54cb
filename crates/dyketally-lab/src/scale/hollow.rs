//! A hollow node: membership, placement and configuration on real sockets, without callers and
//! databases.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dyketally::configuration::sync::SyncSettings;
use dyketally::identifiers::NodeName;
use dyketally::membership::Event;
use dyketally_proxy::link::serve_pulls;
use dyketally_proxy::peers::{Carrier, Peers, PeersHandle, PeersSettings};
use dyketally_proxy::stores::configuration_store::{ConfigurationKeys, ConfigurationStore};
use dyketally_proxy::stores::dissemination::Dissemination;
use dyketally_proxy::stores::memory::MemoryStore;
use tokio::net::TcpListener;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

use super::layout::{node_name, region_of_zone, zone};
use super::observe::{Notice, Observations};
use super::partition::{Cut, CutSocket, address_of_region};

/// Pulls that may wait to be sent.
const PULLS_WAITING: usize = 16;

/// What all hollow nodes share.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// The key-value service.
    pub store: MemoryStore,
    /// Cuts between regions.
    pub cut: Arc<Cut>,
    /// Where the nodes' notices go.
    pub observations: Observations,
}

impl Surroundings {
    /// The stored configuration.
    pub fn configuration(&self) -> ConfigurationStore {
        ConfigurationStore::new(Arc::new(self.store.clone()), ConfigurationKeys::default())
    }
}

/// A running hollow node. Its tasks end when it is dropped.
#[derive(Debug)]
pub struct HollowNode {
    /// Its number.
    pub number: usize,
    /// Membership.
    pub peers: PeersHandle,
    /// The configuration.
    pub dissemination: Dissemination,
    tasks: Vec<AbortHandle>,
}

impl HollowNode {
    /// Starts the node of that number; `started` grows from one process of a node to the next.
    ///
    /// # Errors
    /// When the system has no ports left.
    pub async fn start(
        number: usize,
        started: u64,
        seeds: Vec<SocketAddr>,
        surroundings: &Surroundings,
    ) -> eyre::Result<Self> {
        let region = region_of_zone(number);
        let socket = CutSocket::bind(region, surroundings.cut.clone()).await?;
        let listener = TcpListener::bind((address_of_region(region), 0)).await?;
        let mut settings = PeersSettings::on_loopback(node_name(number), zone(number), started);
        settings.peers = listener.local_addr()?;
        settings.seeds = seeds;
        let peers = Peers::start_on(socket, settings)?;
        let (pull_sender, pulls) = mpsc::channel(PULLS_WAITING);
        let (dissemination, synchronizer) = Dissemination::start(
            node_name(number),
            SyncSettings::default(),
            surroundings.configuration(),
            pull_sender,
        );
        let carrier = Carrier {
            node: node_name(number),
            locality: zone(number),
            peers: peers.clone(),
            dissemination: dissemination.clone(),
            pulls,
            routes: HashMap::new(),
        };
        let stop = CancellationToken::new();
        let server = serve_pulls(listener, node_name(number), dissemination.clone(), stop);
        let observations = surroundings.observations.clone();
        let notices = note(number, peers.clone(), dissemination.clone(), observations);
        let tasks = vec![
            synchronizer.abort_handle(),
            tokio::spawn(carrier.run()).abort_handle(),
            tokio::spawn(server).abort_handle(),
            tokio::spawn(notices).abort_handle(),
        ];
        Ok(Self {
            number,
            peers,
            dissemination,
            tasks,
        })
    }

    /// Its name and when its process was started.
    pub fn process(&self) -> Option<(NodeName, u64)> {
        let node = node_name(self.number);
        let started = self.peers.view().member(&node)?.incarnation.started;
        Some((node, started))
    }

    /// Ends the node as a crash would.
    pub async fn kill(self) {
        self.peers.stop().await;
    }

    /// Ends the node as a planned stop does.
    pub async fn leave(self) {
        self.peers.announce_leaving().await;
        self.peers.leave().await;
    }
}

impl Drop for HollowNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn note(
    number: usize,
    peers: PeersHandle,
    dissemination: Dissemination,
    observations: Observations,
) {
    let mut events = peers.events();
    let mut configurations = dissemination.configuration();
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Ok(Event::RevisionSeen { .. }) | Err(RecvError::Lagged(_)) => {}
                Ok(event) => observations.add(number, Notice::Membership(event)),
                Err(RecvError::Closed) => return,
            },
            changed = configurations.changed() => {
                if changed.is_err() {
                    return;
                }
                let revision = configurations.borrow_and_update().snapshot.revision;
                observations.add(number, Notice::InForce(revision));
            }
        }
    }
}
