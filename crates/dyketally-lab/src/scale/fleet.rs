//! All hollow nodes of a run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use dyketally::configuration::{DocumentEdit, PublishOutcome, PublisherSettings, UnixMillis};
use dyketally::identifiers::NodeName;
use dyketally::membership::Member;
use dyketally::policy::Revision;
use dyketally_proxy::peers::PeersHandle;
use dyketally_proxy::stores::memory::MemoryStore;
use dyketally_proxy::stores::operations::{PublishRequest, publish};
use eyre::{bail, ensure};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::hollow::{HollowNode, Surroundings};
use super::observe::{Notice, Observations};
use super::partition::Cut;

/// Nodes that others join through.
const SEEDS: usize = 3;

/// Time between two looks at whether something has come about.
const POLL: Duration = Duration::from_millis(50);

/// Membership of all running nodes, by number; shared with the sampler of traffic.
pub type Registry = Arc<Mutex<BTreeMap<usize, PeersHandle>>>;

/// When the live process of each node was started.
pub type Processes = BTreeMap<NodeName, u64>;

/// The processes that `members` holds live.
pub fn live_processes(members: &[Member]) -> Processes {
    let live = members.iter().filter(|member| member.state.is_live());
    let described = live.map(|member| (member.node.clone(), member.incarnation.started));
    described.collect()
}

/// All hollow nodes of a run.
#[derive(Debug)]
pub struct Fleet {
    /// The running nodes by number.
    pub nodes: BTreeMap<usize, HollowNode>,
    /// What the nodes share.
    pub surroundings: Surroundings,
    /// Number of databases in the configuration.
    pub databases: usize,
    /// Random choices of the run.
    pub rng: StdRng,
    registry: Registry,
    revision: Revision,
    starts: u64,
}

impl Fleet {
    /// A fleet without nodes.
    pub fn new(databases: usize, seed: u64) -> Self {
        let surroundings = Surroundings {
            store: MemoryStore::default(),
            cut: Arc::new(Cut::default()),
            observations: Observations::default(),
        };
        Self {
            nodes: BTreeMap::new(),
            surroundings,
            databases,
            rng: StdRng::seed_from_u64(seed),
            registry: Registry::default(),
            revision: Revision::default(),
            starts: 0,
        }
    }

    /// Membership of all running nodes.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }

    /// The numbers of the running nodes.
    pub fn numbers(&self) -> Vec<usize> {
        self.nodes.keys().copied().collect()
    }

    /// The nodes' notices.
    pub fn observations(&self) -> &Observations {
        &self.surroundings.observations
    }

    /// The newest revision that was accepted.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Starts a process of the node of that number.
    ///
    /// # Errors
    /// When the system has no ports left.
    pub async fn start(&mut self, number: usize) -> eyre::Result<()> {
        self.starts += 1;
        let seeds = self.seeds();
        let node = HollowNode::start(number, self.starts, seeds, &self.surroundings).await?;
        self.lock().insert(number, node.peers.clone());
        self.nodes.insert(number, node);
        Ok(())
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let first = self.nodes.values().take(SEEDS);
        first.map(|node| node.peers.address()).collect()
    }

    /// Ends a node as a crash would.
    pub async fn kill(&mut self, number: usize) {
        self.lock().remove(&number);
        if let Some(node) = self.nodes.remove(&number) {
            node.kill().await;
        }
    }

    /// Ends a node as a planned stop does.
    pub async fn leave(&mut self, number: usize) {
        self.lock().remove(&number);
        if let Some(node) = self.nodes.remove(&number) {
            node.leave().await;
        }
    }

    /// Publishes a change; gives its revision.
    ///
    /// # Errors
    /// When the change isn't accepted.
    pub async fn publish(&mut self, edits: Vec<DocumentEdit>) -> eyre::Result<Revision> {
        let request = PublishRequest {
            seen: self.revision,
            author: "scale run".to_owned(),
            published_at: UnixMillis(0),
            edits,
        };
        let store = self.surroundings.configuration();
        let settings = PublisherSettings::default();
        let published = publish(&store, request, settings, &mut self.rng).await?;
        match published.outcome {
            PublishOutcome::Accepted { revision } => {
                self.revision = revision;
                Ok(revision)
            }
            other => bail!("a change was not accepted: {other:?}"),
        }
    }

    /// Waits until `is_so`, at most `patience`; gives the time it took.
    pub async fn wait_until(
        &self,
        patience: Duration,
        is_so: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < patience {
            if is_so(self) {
                return Some(start.elapsed());
            }
            tokio::time::sleep(POLL).await;
        }
        None
    }

    /// True when each node holds exactly the running processes live. A node that hasn't heard
    /// that a process was replaced still holds as many nodes live, but not the same processes.
    pub fn agrees(&self) -> bool {
        let running: Processes = self
            .nodes
            .values()
            .filter_map(HollowNode::process)
            .collect();
        let knows_all = |node: &HollowNode| live_processes(&node.peers.view().members) == running;
        running.len() == self.nodes.len() && self.nodes.values().all(knows_all)
    }

    /// True when the newest revision is in force at each node.
    pub fn is_in_force(&self) -> bool {
        let has_newest = |node: &HollowNode| node.dissemination.revision() >= self.revision;
        self.nodes.values().all(has_newest)
    }

    /// Time from `since` until `revision` was in force, for each of `observers`.
    pub fn times_in_force(
        &self,
        since: Instant,
        observers: &[usize],
        revision: Revision,
    ) -> Vec<Option<Duration>> {
        let is_there = |notice: &Notice| matches!(notice, Notice::InForce(it) if *it >= revision);
        self.observations().first_times(since, observers, is_there)
    }

    /// Publishes the whole configuration and waits until it is in force everywhere.
    ///
    /// # Errors
    /// When a change isn't accepted, or not in force everywhere in time.
    pub async fn configure(&mut self, patience: Duration) -> eyre::Result<()> {
        for edits in super::layout::initial_changes(self.databases) {
            self.publish(edits).await?;
        }
        let done = self.wait_until(patience, Fleet::is_in_force).await;
        ensure!(done.is_some(), "the configuration did not reach all nodes");
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<usize, PeersHandle>> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
