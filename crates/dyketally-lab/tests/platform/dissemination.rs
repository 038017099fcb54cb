//! Nodes that run as tasks, linked by channels, over a service with faults.

use std::sync::Arc;
use std::time::Duration;

use dyketally::configuration::sync::{RelaySettings, SyncSettings};
use dyketally::configuration::{PublishOutcome, PublisherSettings};
use dyketally::identifiers::NodeName;
use dyketally::policy::Revision;
use dyketally_proxy::stores::dissemination::{Dissemination, RelayAssignment};
use dyketally_proxy::stores::memory::{FaultPlan, Outage};
use dyketally_proxy::stores::operations::publish;
use dyketally_proxy::stores::{ConfigurationStore, KeyValueStore};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::backend::{Backend, Implementation};
use crate::documents::{configuration, group, request};

/// Ends a test that hangs; no test passes or fails by it otherwise.
const HANG: Duration = Duration::from_secs(60);

const PROBE_INTERVAL: Duration = Duration::from_millis(20);

fn eager() -> SyncSettings {
    SyncSettings {
        relay: RelaySettings {
            fleet_openings_per_second: 50,
            backoff: Duration::from_millis(20),
            longest_backoff: Duration::from_millis(100),
            first_opening_spread: Duration::from_millis(10),
            ..RelaySettings::default()
        },
        ..SyncSettings::default()
    }
}

/// Nodes whose probes and pulls go to each other directly.
struct Fleet {
    nodes: Arc<std::sync::Mutex<Vec<(NodeName, Dissemination)>>>,
    store: ConfigurationStore,
    tasks: JoinSet<()>,
}

impl Fleet {
    fn new(store: Arc<dyn KeyValueStore>) -> Self {
        Self {
            nodes: Arc::default(),
            store: configuration(store),
            tasks: JoinSet::new(),
        }
    }

    fn nodes(&self) -> Vec<(NodeName, Dissemination)> {
        self.nodes.lock().expect("no panic").clone()
    }

    fn node(&self, name: &str) -> Dissemination {
        let nodes = self.nodes();
        let found = nodes.into_iter().find(|(node, _)| node.as_str() == name);
        found.expect("a node of that name").1
    }

    async fn add(&mut self, name: &str, relay: bool) {
        let node = NodeName::from(name);
        let (pulls, mut outgoing) = mpsc::channel(16);
        let (handle, _task) =
            Dissemination::start(node.clone(), eager(), self.store.clone(), pulls);
        let relays = RelayAssignment {
            zone_relays: relay.then(|| node.clone()).into_iter().collect(),
            fleet_relays: 1,
        };
        handle.set_relays(relays).await.expect("a running node");
        self.nodes
            .lock()
            .expect("no panic")
            .push((node.clone(), handle.clone()));
        let nodes = self.nodes.clone();
        let asking = handle.clone();
        self.tasks.spawn(async move {
            while let Some(pull) = outgoing.recv().await {
                let peers = nodes.lock().expect("no panic").clone();
                let Some((peer, asked)) = peers.into_iter().find(|(name, _)| *name == pull.peer)
                else {
                    continue;
                };
                if let Ok(reply) = asked.pull_request(pull.request).await {
                    let _stopped = asking.pull_reply(peer, reply).await;
                }
            }
        });
        let nodes = self.nodes.clone();
        self.tasks.spawn(async move {
            loop {
                tokio::time::sleep(PROBE_INTERVAL).await;
                let peers = nodes.lock().expect("no panic").clone();
                for (_, peer) in peers {
                    peer.peer_revision(node.clone(), handle.revision());
                }
            }
        });
    }

    fn remove(&mut self, name: &str) {
        let mut nodes = self.nodes.lock().expect("no panic");
        nodes.retain(|(node, _)| node.as_str() != name);
    }

    async fn publish(&self, seen: u64) {
        let seed = rand::random();
        println!("seed {seed}");
        let request = request("anna", seen, group(&seen.to_string()));
        let settings = PublisherSettings::default();
        let mut random = StdRng::seed_from_u64(seed);
        let offered = publish(&self.store, request, settings, &mut random).await;
        let revision = Revision(seen + 1);
        assert_eq!(
            offered.expect("offered").outcome,
            PublishOutcome::Accepted { revision }
        );
    }

    /// Waits until all nodes have `revision` in force, resolved.
    async fn converged(&self, revision: u64) {
        for (name, node) in self.nodes() {
            let mut configuration = node.configuration();
            let in_force = configuration
                .wait_for(|configuration| configuration.snapshot.revision >= Revision(revision));
            let in_force = tokio::time::timeout(HANG, in_force).await;
            let in_force = in_force.unwrap_or_else(|_| panic!("{name} hangs"));
            let in_force = in_force.expect("a running node").clone();
            assert_eq!(in_force.snapshot.revision, Revision(revision));
            assert_eq!(in_force.policy.revision, Revision(revision));
            assert_eq!(in_force.policy.groups.len(), 1);
        }
    }
}

fn down(outage: Outage) -> FaultPlan {
    FaultPlan {
        outage,
        ..FaultPlan::default()
    }
}

#[rstest]
#[tokio::test]
async fn accepted_changes_reach_every_node_through_one_relay(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let mut fleet = Fleet::new(backend.store());
    fleet.publish(0).await;
    for (name, relay) in [("a", true), ("b", false), ("c", false), ("d", false)] {
        fleet.add(name, relay).await;
    }
    fleet.converged(1).await;
    for seen in 1..5 {
        fleet.publish(seen).await;
    }
    fleet.converged(5).await;
    for name in ["b", "c", "d"] {
        let counters = fleet.node(name).counters().await.expect("a running node");
        assert_eq!(
            counters.watches_opened, 0,
            "only the relay turns to the service"
        );
    }
}

#[rstest]
#[tokio::test]
async fn a_fresh_node_starts_while_the_service_is_down(
    #[values(Outage::Refuse, Outage::Hang)] outage: Outage,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let mut fleet = Fleet::new(backend.store());
    fleet.publish(0).await;
    fleet.add("a", true).await;
    fleet.converged(1).await;
    backend.set_faults(down(outage)).await;
    fleet.add("fresh", true).await;
    fleet.add("other", false).await;
    fleet.converged(1).await;
}

#[rstest]
#[tokio::test]
async fn a_relay_goes_on_after_an_outage(
    #[values(Outage::Refuse, Outage::Hang)] outage: Outage,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let mut fleet = Fleet::new(backend.store());
    fleet.publish(0).await;
    fleet.add("a", true).await;
    fleet.add("b", false).await;
    fleet.converged(1).await;
    backend.set_faults(down(outage)).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    backend.set_faults(FaultPlan::default()).await;
    fleet.publish(1).await;
    fleet.converged(2).await;
}

#[rstest]
#[tokio::test]
async fn a_lost_relay_is_replaced(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let mut fleet = Fleet::new(backend.store());
    fleet.publish(0).await;
    fleet.add("a", true).await;
    fleet.add("b", false).await;
    fleet.add("c", false).await;
    fleet.converged(1).await;
    fleet.remove("a");
    let relays = RelayAssignment {
        zone_relays: vec!["b".into()],
        fleet_relays: 1,
    };
    fleet
        .node("b")
        .set_relays(relays)
        .await
        .expect("a running node");
    fleet.publish(1).await;
    fleet.converged(2).await;
}

#[rstest]
#[tokio::test]
async fn a_node_that_missed_many_changes_or_a_compacted_watch_reads_the_documents(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    const CHANGES: u64 = 70;
    let backend = Backend::start(implementation).await;
    let mut fleet = Fleet::new(backend.store());
    for seen in 0..CHANGES {
        fleet.publish(seen).await;
    }
    backend.compact(backend.truth().newest()).await;
    fleet.add("a", true).await;
    fleet.add("b", false).await;
    fleet.converged(CHANGES).await;
    let counters = fleet.node("a").counters().await.expect("a running node");
    assert_eq!(
        (counters.snapshots_installed, counters.changes_applied),
        (1, 0)
    );
    fleet.publish(CHANGES).await;
    fleet.converged(CHANGES + 1).await;
}
