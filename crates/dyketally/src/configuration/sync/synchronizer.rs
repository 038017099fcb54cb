//! Keeps one node's configuration up to date.

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

/// How a node pulls from its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullSettings {
    /// Time after which another peer is asked.
    pub timeout: Duration,
    /// Bytes of one reply, near enough; a single larger change or document goes alone.
    pub reply_bytes: usize,
    /// Newest changes that are kept for peers that are behind.
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
    /// How it pulls from its peers.
    pub pull: PullSettings,
    /// How it reads the service while it is a relay.
    pub relay: RelaySettings,
}

/// What the node's driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// Send the request to the peer.
    Pull {
        /// The peer.
        peer: NodeName,
        /// The request.
        request: PullRequest,
    },
    /// Open a watch of the service in place of any other: report what follows `have`, then go on
    /// with each change.
    OpenWatch {
        /// Goes back with each report.
        watch: WatchId,
        /// The revision in force.
        have: Revision,
    },
    /// Close the watch.
    CloseWatch,
    /// A newer configuration is in force. The revision should be told to a few peers at once.
    InForce(Snapshot),
}

/// What a watch of the service reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchReport {
    /// The service answers and is at this revision; all that was missing has been reported.
    Established {
        /// The service's revision.
        revision: Revision,
    },
    /// Accepted changes, in order.
    Changes(Vec<Arc<Change>>),
    /// All documents, as more changes were missing than the watch reads one by one.
    Snapshot(Snapshot),
    /// The watch is lost.
    Failed(WatchFailure),
}

/// Why a watch is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchFailure {
    /// The wait that the service asked for.
    pub retry_after: Duration,
}

/// What a [`Synchronizer`] counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCounters {
    /// Changes applied.
    pub changes_applied: u64,
    /// Snapshots installed.
    pub snapshots_installed: u64,
    /// Changes and snapshots offered that were known.
    pub already_known: u64,
    /// Changes offered before their predecessors.
    pub gaps: u64,
    /// Changes offered for a revision that another change has made.
    pub contradictions: u64,
    /// Requests sent to peers.
    pub pulls: u64,
    /// Requests that no answer came to in time.
    pub pull_timeouts: u64,
    /// Answers that brought nothing.
    pub useless_replies: u64,
    /// Watches opened.
    pub watches_opened: u64,
    /// Watches lost.
    pub watches_lost: u64,
    /// Times that the service was found at an earlier revision than the node.
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
    /// A fresh node without a configuration; `seed` spreads its waits.
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

    /// The revision in force, told to peers with each membership message.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// The counters.
    pub fn counters(&self) -> SyncCounters {
        self.counters
    }

    /// The relays of the node's own zone have changed; all zones together have `fleet_relays`.
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

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<SyncAction> {
        if let Some(silent) = self.puller.expire(now) {
            self.counters.pull_timeouts += 1;
            self.puller.forget(&silent);
        }
        let step = self.relay.tick(now, &mut self.random);
        let mut actions: Vec<SyncAction> = self.relay_action(step).into_iter().collect();
        actions.extend(self.ask(now));
        actions
    }

    /// A peer told its revision.
    pub fn peer_revision(
        &mut self,
        peer: NodeName,
        revision: Revision,
        now: Timestamp,
    ) -> Vec<SyncAction> {
        let have = self.revision();
        self.puller.heard(peer, revision, have);
        self.ask(now).into_iter().collect()
    }

    /// A peer asks for what it lacks.
    pub fn pull_request(&self, request: PullRequest) -> PullReply {
        serve::answer(&self.log, request, self.settings.pull.reply_bytes)
    }

    /// A peer answers.
    pub fn pull_reply(
        &mut self,
        peer: &NodeName,
        reply: PullReply,
        now: Timestamp,
    ) -> Vec<SyncAction> {
        let awaited = self.puller.settle(peer);
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
                self.assembled(assembled)
            }
            PullReply::Part { .. } => false,
        };
        if !useful {
            self.counters.useless_replies += 1;
        }
        if awaited && !useful {
            self.puller.forget(peer);
        }
        self.conclude(before, now)
    }

    /// The watch reports.
    pub fn watch_report(
        &mut self,
        watch: WatchId,
        report: WatchReport,
        now: Timestamp,
    ) -> Vec<SyncAction> {
        let before = self.revision();
        match report {
            // What the service accepted is true whichever watch tells it.
            WatchReport::Changes(changes) => self.apply(changes),
            WatchReport::Snapshot(snapshot) => self.install(snapshot),
            _ if !self.relay.is_open(watch) => return Vec::new(),
            WatchReport::Established { revision } => {
                self.counters.service_behind += u64::from(revision < before);
                self.relay.answered();
            }
            WatchReport::Failed(failure) => {
                self.counters.watches_lost += 1;
                self.relay
                    .failed(failure.retry_after, now, &mut self.random);
            }
        }
        self.conclude(before, now)
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

    fn assembled(&mut self, assembled: Assembled) -> bool {
        match assembled {
            Assembled::Continues => true,
            Assembled::Unusable => false,
            Assembled::Whole(snapshot) => {
                self.install(snapshot);
                true
            }
        }
    }

    /// Tells of an advance over `before` and asks for what is still missing.
    fn conclude(&mut self, before: Revision, now: Timestamp) -> Vec<SyncAction> {
        let mut actions = Vec::new();
        let have = self.revision();
        if have > before {
            self.puller.advanced(have);
            actions.push(SyncAction::InForce(self.snapshot().clone()));
        }
        actions.extend(self.ask(now));
        actions
    }

    fn ask(&mut self, now: Timestamp) -> Option<SyncAction> {
        let have = self.revision();
        let timeout = self.settings.pull.timeout;
        let (peer, request) = self.puller.ask(have, now, timeout)?;
        self.counters.pulls += 1;
        Some(SyncAction::Pull { peer, request })
    }
}
