//! A node's configuration synchronizer, which receives changes from its watch of the key-value service and from peers.

use std::time::Duration;

use dyketally::configuration::Change;
use dyketally::configuration::sync::{
    PullReply, PullRequest, PullSettings, RelaySettings, SyncAction, SyncSettings, Synchronizer,
    WatchFailure, WatchId, WatchReport,
};
use dyketally::history::Event;
use dyketally::identifiers::NodeName;
use dyketally::policy::Revision;
use dyketally::time::Timestamp;
use rand::Rng;

use super::{ServiceMessage, digest_of_change, digest_of_snapshot};
use crate::environment::{ConnectionId, Environment, NODES, Place, SERVICE, ScheduledEvent, Side};
use crate::messages::Payload;
use crate::switches::Switch;

/// Interval at which a node announces its revision to its peers.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of nodes, from node 0 on, that watch the service as relays.
const RELAYS: usize = 2;
const SETTINGS: SyncSettings = SyncSettings {
    pull: PullSettings {
        timeout: Duration::from_millis(40),
        reply_bytes: 100,
        changes_kept: 3,
    },
    relay: RelaySettings {
        fleet_openings_per_second: 200,
        burst: 4,
        backoff: Duration::from_millis(5),
        longest_backoff: Duration::from_millis(100),
        first_opening_spread: Duration::from_millis(20),
        refresh: Duration::from_millis(400),
    },
};

/// Messages between nodes, in datagrams that may be lost, delayed or duplicated.
#[derive(Clone, Debug)]
pub enum NodeMessage {
    Revision(Revision),
    Pull(PullRequest),
    PullReply(PullReply),
}

pub struct Follower {
    place: Place,
    synchronizer: Synchronizer,
    watch: Option<(ConnectionId, WatchId)>,
    /// When the node last announced its revision.
    announced_at: Timestamp,
    /// Whether the synchronizer has received its list of relays.
    relays_set: bool,
}

fn name(place: Place) -> NodeName {
    NodeName::new(format!("node-{place}"))
}

fn place_of(node: &NodeName) -> Place {
    let place = (0..NODES).find(|place| &name(*place) == node);
    place.expect("a node of the simulation")
}

impl Follower {
    pub fn new(place: Place) -> Self {
        Follower {
            place,
            synchronizer: Synchronizer::new(name(place), SETTINGS, place as u64),
            watch: None,
            announced_at: Timestamp::ZERO,
            relays_set: false,
        }
    }

    pub fn revision(&self) -> Revision {
        self.synchronizer.revision()
    }

    pub fn tick(&mut self, environment: &mut Environment) {
        let now = environment.now(self.place);
        if !std::mem::replace(&mut self.relays_set, true) {
            let relays: Vec<_> = (0..RELAYS).map(name).collect();
            let actions = self.synchronizer.set_relays(&relays, RELAYS as u32, now);
            self.carry_out(environment, actions);
        }
        let actions = self.synchronizer.tick(now);
        self.carry_out(environment, actions);
        if self.announced_at + ANNOUNCE_INTERVAL <= now {
            self.announced_at = now;
            for peer in (0..NODES).filter(|peer| *peer != self.place) {
                let revision = self.revision();
                self.send_datagram(environment, peer, NodeMessage::Revision(revision));
            }
        }
    }

    fn send_datagram(&self, environment: &mut Environment, to: Place, message: NodeMessage) {
        let from = self.place;
        let copies = 1 + usize::from(environment.random.random_ratio(1, 20));
        for _ in 0..copies {
            let message = Box::new(message.clone());
            let delay = environment.datagram_delay(from, to);
            environment.after(delay, ScheduledEvent::Datagram { from, to, message });
        }
    }

    pub fn handle_datagram(
        &mut self,
        environment: &mut Environment,
        from: Place,
        message: NodeMessage,
    ) {
        let now = environment.now(self.place);
        let peer = name(from);
        let actions = match message {
            NodeMessage::Revision(revision) => self.synchronizer.peer_revision(peer, revision, now),
            NodeMessage::Pull(request) => {
                let reply = self.synchronizer.pull_request(request);
                return self.send_datagram(environment, from, NodeMessage::PullReply(reply));
            }
            NodeMessage::PullReply(reply) => {
                if let PullReply::Changes { changes } = &reply {
                    self.apply_unchecked(environment, changes);
                }
                self.synchronizer.pull_reply(&peer, reply, now)
            }
        };
        self.carry_out(environment, actions);
    }

    /// Handles a payload on the watch's connection; returns false if the payload is for another component.
    pub fn handle(
        &mut self,
        environment: &mut Environment,
        id: ConnectionId,
        payload: &Payload,
    ) -> bool {
        let now = environment.now(self.place);
        let report = match payload {
            Payload::Service(message) => match (**message).clone() {
                ServiceMessage::Report { watch, report } => Some((watch, report)),
                other => panic!("a node doesn't handle {other:?}"),
            },
            Payload::Closed => {
                let lost = self.watch.take_if(|(connection, _)| *connection == id);
                let failure = WatchReport::Failed(WatchFailure::default());
                lost.map(|(_, watch)| (watch, failure))
            }
            _ => None,
        };
        let Some((watch, report)) = report else {
            return false;
        };
        if let WatchReport::Changes(changes) = &report {
            self.apply_unchecked(environment, changes);
        }
        let actions = self.synchronizer.watch_report(watch, report, now);
        self.carry_out(environment, actions);
        true
    }

    /// With [`Switch::OldRevisionApplied`], records every received change as in force, whatever its revision.
    fn apply_unchecked(&self, environment: &mut Environment, changes: &[std::sync::Arc<Change>]) {
        if !environment.has(Switch::OldRevisionApplied) {
            return;
        }
        for change in changes {
            let digest = digest_of_change(change);
            self.record_in_force(environment, change.revision, digest);
        }
    }

    fn record_in_force(
        &self,
        environment: &mut Environment,
        revision: Revision,
        digest: dyketally::history::Digest,
    ) {
        let node = self.incarnation_name(environment);
        environment.record(Event::InForce {
            node,
            revision,
            digest,
        });
    }

    pub fn incarnation_name(&self, environment: &Environment) -> NodeName {
        let incarnation = environment.incarnations[self.place];
        NodeName::new(format!("node-{}-{incarnation}", self.place))
    }

    fn carry_out(&mut self, environment: &mut Environment, actions: Vec<SyncAction>) {
        for action in actions {
            match action {
                SyncAction::Pull { peer, request } => {
                    self.send_datagram(environment, place_of(&peer), NodeMessage::Pull(request));
                }
                SyncAction::OpenWatch { watch, have } => {
                    self.close_watch(environment);
                    let connection = environment.connect(self.place, SERVICE);
                    let message = ServiceMessage::Watch { watch, have };
                    let payload = Payload::Service(Box::new(message));
                    environment.send(connection, Side::Client, payload);
                    self.watch = Some((connection, watch));
                }
                SyncAction::CloseWatch => self.close_watch(environment),
                SyncAction::InForce(snapshot) => {
                    let digest = digest_of_snapshot(&snapshot);
                    self.record_in_force(environment, snapshot.revision, digest);
                }
            }
        }
    }

    fn close_watch(&mut self, environment: &mut Environment) {
        if let Some((connection, _)) = self.watch.take() {
            environment.close(connection, Side::Client);
        }
    }
}
