//! Runs the synchronizer of one node: its watch of the service and its pulls from peers.

use std::sync::Arc;
use std::time::Duration;

use dyketally::configuration::Snapshot;
use dyketally::configuration::sync::{
    PullReply, PullRequest, SyncAction, SyncCounters, SyncSettings, Synchronizer, WatchId,
    WatchReport,
};
use dyketally::identifiers::NodeName;
use dyketally::policy::{PolicySet, Revision};
use dyketally::template::resolve;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio_util::task::AbortOnDropHandle;

use super::configuration_store::ConfigurationStore;
use super::relay_watch::{self, NumberedReport};
use crate::clock;

const TICK: Duration = Duration::from_millis(50);

/// Messages that may wait for the synchronizer.
const MESSAGES_WAITING: usize = 256;

/// Reports of a watch that may wait for the synchronizer.
const REPORTS_WAITING: usize = 16;

/// The configuration in force on this node.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The documents.
    pub snapshot: Snapshot,
    /// What the request path reads. Of an older revision than the documents only while this
    /// version of the node can't resolve them.
    pub policy: Arc<PolicySet>,
}

/// A request that the link to peers has to carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPull {
    /// The peer to ask.
    pub peer: NodeName,
    /// What to ask.
    pub request: PullRequest,
}

/// The relays as the membership sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayAssignment {
    /// The relays of this node's own zone.
    pub zone_relays: Vec<NodeName>,
    /// The number of relays in all zones.
    pub fleet_relays: u32,
}

enum Message {
    Relays(RelayAssignment),
    PeerRevision(NodeName, Revision),
    PullRequest(PullRequest, oneshot::Sender<PullReply>),
    PullReply(NodeName, PullReply),
    Counters(oneshot::Sender<SyncCounters>),
}

/// The node's synchronizer has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the configuration is no longer kept up to date on this node; restart the node")]
pub struct SynchronizerStopped;

/// Talks to the running synchronizer. Clones share it.
#[derive(Clone, Debug)]
pub struct Dissemination {
    messages: mpsc::Sender<Message>,
    configuration: watch::Receiver<Configuration>,
}

impl Dissemination {
    /// Starts the synchronizer of `node`; requests to peers go out through `pulls`. The task ends
    /// when all handles are dropped.
    pub fn start(
        node: NodeName,
        settings: SyncSettings,
        store: ConfigurationStore,
        pulls: mpsc::Sender<OutgoingPull>,
    ) -> (Self, JoinHandle<()>) {
        let (messages, inbox) = mpsc::channel(MESSAGES_WAITING);
        let (sender, configuration) = watch::channel(Configuration::default());
        let (reports_sender, reports) = mpsc::channel(REPORTS_WAITING);
        let driver = Driver {
            synchronizer: Synchronizer::new(node, settings, rand::random()),
            store,
            pulls,
            configuration: sender,
            reports_sender,
            watch: None,
            service_reachable: None,
        };
        let handle = Self {
            messages,
            configuration,
        };
        (handle, tokio::spawn(driver.run(inbox, reports)))
    }

    /// The configuration in force, and notice of each newer one.
    pub fn configuration(&self) -> watch::Receiver<Configuration> {
        self.configuration.clone()
    }

    /// The revision in force, to be told to peers with each membership message.
    pub fn revision(&self) -> Revision {
        self.configuration.borrow().snapshot.revision
    }

    /// The relays have changed.
    ///
    /// # Errors
    /// When the synchronizer has stopped.
    pub async fn set_relays(&self, relays: RelayAssignment) -> Result<(), SynchronizerStopped> {
        self.send(Message::Relays(relays)).await
    }

    /// A peer told its revision. Dropped when the synchronizer is busy, as the peer tells it again.
    pub fn peer_revision(&self, peer: NodeName, revision: Revision) {
        if revision > self.revision() {
            let _dropped = self
                .messages
                .try_send(Message::PeerRevision(peer, revision));
        }
    }

    /// The answer to a peer's request.
    ///
    /// # Errors
    /// When the synchronizer has stopped.
    pub async fn pull_request(
        &self,
        request: PullRequest,
    ) -> Result<PullReply, SynchronizerStopped> {
        let (sender, reply) = oneshot::channel();
        self.send(Message::PullRequest(request, sender)).await?;
        reply.await.map_err(|_| SynchronizerStopped)
    }

    /// A peer's answer has arrived.
    ///
    /// # Errors
    /// When the synchronizer has stopped.
    pub async fn pull_reply(
        &self,
        peer: NodeName,
        reply: PullReply,
    ) -> Result<(), SynchronizerStopped> {
        self.send(Message::PullReply(peer, reply)).await
    }

    /// The counters.
    ///
    /// # Errors
    /// When the synchronizer has stopped.
    pub async fn counters(&self) -> Result<SyncCounters, SynchronizerStopped> {
        let (sender, counters) = oneshot::channel();
        self.send(Message::Counters(sender)).await?;
        counters.await.map_err(|_| SynchronizerStopped)
    }

    async fn send(&self, message: Message) -> Result<(), SynchronizerStopped> {
        let sent = self.messages.send(message).await;
        sent.map_err(|_| SynchronizerStopped)
    }
}

struct Driver {
    synchronizer: Synchronizer,
    store: ConfigurationStore,
    pulls: mpsc::Sender<OutgoingPull>,
    configuration: watch::Sender<Configuration>,
    reports_sender: mpsc::Sender<NumberedReport>,
    watch: Option<AbortOnDropHandle<()>>,
    service_reachable: Option<bool>,
}

impl Driver {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Message>,
        mut reports: mpsc::Receiver<NumberedReport>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let actions = tokio::select! {
                _ = ticks.tick() => self.synchronizer.tick(clock::now()),
                Some(report) = reports.recv() => self.take_report(report),
                message = inbox.recv() => match message {
                    Some(message) => self.take_message(message),
                    None => break,
                },
            };
            for action in actions {
                self.carry_out(action);
            }
        }
    }

    fn take_message(&mut self, message: Message) -> Vec<SyncAction> {
        let now = clock::now();
        match message {
            Message::Relays(relays) => {
                let RelayAssignment {
                    zone_relays,
                    fleet_relays,
                } = relays;
                self.synchronizer
                    .set_relays(&zone_relays, fleet_relays, now)
            }
            Message::PeerRevision(peer, revision) => {
                self.synchronizer.peer_revision(peer, revision, now)
            }
            Message::PullReply(peer, reply) => self.synchronizer.pull_reply(&peer, reply, now),
            Message::PullRequest(request, sender) => {
                // A peer that no longer waits needs no answer.
                let _ = sender.send(self.synchronizer.pull_request(request));
                Vec::new()
            }
            Message::Counters(sender) => {
                // As above.
                let _ = sender.send(self.synchronizer.counters());
                Vec::new()
            }
        }
    }

    fn take_report(&mut self, numbered: NumberedReport) -> Vec<SyncAction> {
        let NumberedReport { watch, report } = numbered;
        self.note_service(&report);
        self.synchronizer.watch_report(watch, report, clock::now())
    }

    /// Logs when the service comes and goes, not each failure.
    fn note_service(&mut self, report: &WatchReport) {
        let reachable = !matches!(report, WatchReport::Failed(_));
        if self.service_reachable == Some(reachable) {
            return;
        }
        match reachable {
            true => log::info!("the configuration is followed at the key-value service"),
            false => log::warn!(
                "the key-value service does not tell the configuration; this node goes on with \
                 revision {} and tries again",
                self.synchronizer.revision().0
            ),
        }
        self.service_reachable = Some(reachable);
    }

    fn carry_out(&mut self, action: SyncAction) {
        match action {
            SyncAction::Pull { peer, request } => {
                // A full link drops the request; it is repeated after its timeout.
                let _ = self.pulls.try_send(OutgoingPull { peer, request });
            }
            SyncAction::OpenWatch { watch, have } => self.open_watch(watch, have),
            SyncAction::CloseWatch => self.close_watch(),
            SyncAction::InForce(snapshot) => self.put_in_force(snapshot),
        }
    }

    fn open_watch(&mut self, watch: WatchId, have: Revision) {
        self.close_watch();
        let store = self.store.clone();
        let reports = self.reports_sender.clone();
        let task = tokio::spawn(relay_watch::run(store, watch, have, reports));
        self.watch = Some(AbortOnDropHandle::new(task));
    }

    fn close_watch(&mut self) {
        self.watch = None;
    }

    fn put_in_force(&mut self, snapshot: Snapshot) {
        let revision = snapshot.revision;
        let resolved = resolve(&snapshot.documents);
        self.configuration.send_modify(|configuration| {
            configuration.snapshot = snapshot;
            match resolved {
                Ok(policy) => {
                    log::info!("configuration revision {} is in force", revision.0);
                    configuration.policy = Arc::new(PolicySet { revision, ..policy });
                }
                Err(faults) => log::error!(
                    "configuration revision {} can't be resolved by this version ({} faults, first: \
                     {}); revision {} stays in force; upgrade this node or publish a change that \
                     mends it",
                    revision.0,
                    faults.len(),
                    faults.first().map(ToString::to_string).unwrap_or_default(),
                    configuration.policy.revision.0
                ),
            }
        });
    }
}
