//! Keeps one node's configuration up to date, as a state machine: a driver sends its requests to
//! peers and carries out its watch of the key-value service.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::assembly::Assembled;
use super::message::{PullReply, PullRequest};
use super::puller::Puller;
use super::relay::{Relay, RelaySettings, RelayStep, WatchId};
use super::serve;
use crate::configuration::change::Change;
use crate::configuration::log::{Applied, ConfigurationLog, Installed};
use crate::configuration::snapshot::Snapshot;
use crate::identifiers::NodeName;
use crate::policy::Revision;
use crate::time::Timestamp;

/// Limits on pulling configuration from peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullSettings {
    /// Time without a reply after which another peer is asked.
    pub timeout: Duration,
    /// Largest reply, in approximate bytes; a single larger change or document is sent alone.
    pub reply_bytes: usize,
    /// Number of recent changes that are kept for peers with an older revision.
    pub changes_kept: usize,
}

impl Default for PullSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
            reply_bytes: 64 * 1024,
            changes_kept: 256,
        }
    }
}

/// Settings of a [`Synchronizer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncSettings {
    /// Limits on pulling from peers.
    pub pull: PullSettings,
    /// Timing and rates of the watch of the key-value service while the node is a relay.
    pub relay: RelaySettings,
}

/// What the driver of a [`Synchronizer`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// Send the request to the peer.
    Pull {
        /// The peer to ask.
        peer: NodeName,
        /// The request to send.
        request: PullRequest,
    },
    /// Open a watch of the service and close any earlier one. The watch reports what follows `have`,
    /// then each new change.
    OpenWatch {
        /// Number of the watch, to be returned with each report.
        watch: WatchId,
        /// The node's current revision.
        have: Revision,
    },
    /// Close the open watch.
    CloseWatch,
    /// A newer configuration is in force. Its revision should be announced to a few peers at once.
    InForce(Snapshot),
}

/// What a watch of the service reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchReport {
    /// The service answered, and everything that the node lacked has been reported.
    Established {
        /// The service's current revision.
        revision: Revision,
    },
    /// Accepted changes, in the order of their revisions.
    Changes(Vec<Arc<Change>>),
    /// All documents, sent when more changes are missing than the watch reads one by one.
    Snapshot(Snapshot),
    /// The watch failed.
    Failed(WatchFailure),
}

/// Details of a failed watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchFailure {
    /// Wait before the next watch that the service requested.
    pub retry_after: Duration,
}

/// Counters of a [`Synchronizer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCounters {
    /// Changes that were applied.
    pub changes_applied: u64,
    /// Snapshots that were installed.
    pub snapshots_installed: u64,
    /// Changes and snapshots that were ignored, because they were not newer than the node's own.
    pub already_known: u64,
    /// Changes that were ignored, because changes before them were missing.
    pub gaps: u64,
    /// Changes that were ignored, because another change had created the same revision.
    pub contradictions: u64,
    /// Requests sent to peers.
    pub pulls: u64,
    /// Requests to peers that timed out.
    pub pull_timeouts: u64,
    /// Replies of peers that contained nothing new.
    pub useless_replies: u64,
    /// Watches that were opened.
    pub watches_opened: u64,
    /// Watches that failed.
    pub watches_lost: u64,
    /// Times that the service reported a lower revision than the node's own.
    pub service_behind: u64,
}

/// Keeps one node's configuration up to date from its peers and, as a relay, from the service.
#[derive(Clone, Debug)]
pub struct Synchronizer {
    node: NodeName,
    settings: SyncSettings,
    log: ConfigurationLog,
    puller: Puller,
    relay: Relay,
    counters: SyncCounters,
    random: StdRng,
}

impl Synchronizer {
    /// The synchronizer of a new node without a configuration; `seed` is for its random waits.
    pub fn new(node: NodeName, settings: SyncSettings, seed: u64) -> Self {
        Self {
            node,
            settings,
            log: ConfigurationLog::new(settings.pull.changes_kept),
            puller: Puller::default(),
            relay: Relay::new(settings.relay),
            counters: SyncCounters::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The current revision, announced to peers with each membership message.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    /// The current configuration.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// What has been counted since the start.
    pub fn counters(&self) -> SyncCounters {
        self.counters
    }

    /// Sets the relays of the node's own zone; all zones together have `fleet_relays` relays.
    pub fn set_relays(
        &mut self,
        relays: &[NodeName],
        fleet_relays: u32,
        now: Timestamp,
    ) -> Vec<SyncAction> {
        let is_relay = relays.contains(&self.node);
        let step = self
            .relay
            .assign(is_relay, fleet_relays, now, &mut self.random);
        self.relay_action(step).into_iter().collect()
    }

    /// Handles timeouts and waits that have ended by `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<SyncAction> {
        if let Some(silent) = self.puller.take_timed_out(now) {
            self.counters.pull_timeouts += 1;
            self.puller.forget(&silent);
        }
        let step = self.relay.tick(now, &mut self.random);
        let mut actions: Vec<SyncAction> = self.relay_action(step).into_iter().collect();
        actions.extend(self.pull_next(now));
        actions
    }

    /// Handles the announcement of a peer's revision.
    pub fn peer_revision(
        &mut self,
        peer: NodeName,
        revision: Revision,
        now: Timestamp,
    ) -> Vec<SyncAction> {
        let have = self.revision();
        self.puller.record_revision(peer, revision, have);
        self.pull_next(now).into_iter().collect()
    }

    /// Answers a peer's request for missing configuration.
    pub fn pull_request(&self, request: PullRequest) -> PullReply {
        serve::answer(&self.log, request, self.settings.pull.reply_bytes)
    }

    /// Handles a peer's reply to a request.
    pub fn pull_reply(
        &mut self,
        peer: &NodeName,
        reply: PullReply,
        now: Timestamp,
    ) -> Vec<SyncAction> {
        let awaited = self.puller.end_request(peer);
        let before = self.revision();
        let useful = match reply {
            PullReply::Changes { changes } => {
                self.apply(changes);
                self.revision() > before
            }
            PullReply::Part {
                part,
                last,
                documents,
            } if part.revision > before => {
                let assembled = self.puller.add_part(&part, last, documents);
                self.handle_assembled(assembled)
            }
            PullReply::Part { .. } => false,
        };
        if !useful {
            self.counters.useless_replies += 1;
        }
        if awaited && !useful {
            self.puller.forget(peer);
        }
        self.after_update(before, now)
    }

    /// Handles a report of the watch `watch`.
    pub fn watch_report(
        &mut self,
        watch: WatchId,
        report: WatchReport,
        now: Timestamp,
    ) -> Vec<SyncAction> {
        let before = self.revision();
        match report {
            // Accepted changes are final, so reports of closed watches are used too.
            WatchReport::Changes(changes) => self.apply(changes),
            WatchReport::Snapshot(snapshot) => self.install(snapshot),
            _ if !self.relay.is_open(watch) => return Vec::new(),
            WatchReport::Established { revision } => {
                self.counters.service_behind += u64::from(revision < before);
                self.relay.record_answer();
            }
            WatchReport::Failed(failure) => {
                self.counters.watches_lost += 1;
                self.relay
                    .record_failure(failure.retry_after, now, &mut self.random);
            }
        }
        self.after_update(before, now)
    }

    fn relay_action(&mut self, step: Option<RelayStep>) -> Option<SyncAction> {
        match step? {
            RelayStep::Close => Some(SyncAction::CloseWatch),
            RelayStep::Open(watch) => {
                self.counters.watches_opened += 1;
                let have = self.revision();
                Some(SyncAction::OpenWatch { watch, have })
            }
        }
    }

    fn apply(&mut self, changes: Vec<Arc<Change>>) {
        for change in changes {
            let counter = match self.log.apply(change) {
                Applied::InForce => &mut self.counters.changes_applied,
                Applied::AlreadyKnown => &mut self.counters.already_known,
                Applied::Gap => &mut self.counters.gaps,
                Applied::Contradiction => &mut self.counters.contradictions,
            };
            *counter += 1;
        }
    }

    fn install(&mut self, snapshot: Snapshot) {
        let counter = match self.log.install(snapshot) {
            Installed::InForce => &mut self.counters.snapshots_installed,
            Installed::NotNewer => &mut self.counters.already_known,
        };
        *counter += 1;
    }

    fn handle_assembled(&mut self, assembled: Assembled) -> bool {
        match assembled {
            Assembled::Continues => true,
            Assembled::Unusable => false,
            Assembled::Whole(snapshot) => {
                self.install(snapshot);
                true
            }
        }
    }

    /// Announces a revision higher than `before`, and requests what is still missing.
    fn after_update(&mut self, before: Revision, now: Timestamp) -> Vec<SyncAction> {
        let mut actions = Vec::new();
        let have = self.revision();
        if have > before {
            self.puller.drop_obsolete(have);
            actions.push(SyncAction::InForce(self.snapshot().clone()));
        }
        actions.extend(self.pull_next(now));
        actions
    }

    fn pull_next(&mut self, now: Timestamp) -> Option<SyncAction> {
        let have = self.revision();
        let timeout = self.settings.pull.timeout;
        let (peer, request) = self.puller.begin_request(have, now, timeout)?;
        self.counters.pulls += 1;
        Some(SyncAction::Pull { peer, request })
    }
}
