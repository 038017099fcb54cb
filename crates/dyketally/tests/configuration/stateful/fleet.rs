//! The nodes, the messages between them, and their watches of the service.

use std::time::Duration;

use dyketally::configuration::sync::{
    DocumentKey, PartOfSnapshot, PullReply, PullRequest, PullSettings, SyncAction, SyncSettings,
    Synchronizer, WatchFailure, WatchId, WatchReport,
};
use dyketally::identifiers::NodeName;
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally::time::Timestamp;

use super::service::Service;
use super::{Garbage, MessageFate, NODES};

/// Most missing changes that a watch reports one by one; if more are missing, it reports a snapshot.
const MOST_CHANGES_REPORTED: u64 = 3;

/// Small bounds, so that replies hold only a part and logs drop changes.
fn settings() -> SyncSettings {
    SyncSettings {
        pull: PullSettings {
            reply_bytes: 25,
            changes_kept: 1,
            ..PullSettings::default()
        },
        ..SyncSettings::default()
    }
}

#[derive(Clone, Debug)]
enum Body {
    Revision(Revision),
    Request(PullRequest),
    Reply(PullReply),
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    body: Body,
}

struct Watch {
    id: WatchId,
    reported: Revision,
}

struct Node {
    synchronizer: Synchronizer,
    relay: bool,
    watch: Option<Watch>,
    /// The greatest revision that was in force.
    highest: Revision,
}

pub struct Fleet {
    nodes: Vec<Node>,
    messages: Vec<Message>,
    started: u64,
}

fn name(node: usize) -> NodeName {
    NodeName::new(format!("node-{node}"))
}

impl Fleet {
    pub fn new() -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            messages: Vec::new(),
            started: 0,
        };
        for node in 0..NODES {
            let fresh = fleet.fresh(node);
            fleet.nodes.push(fresh);
        }
        fleet
    }

    fn fresh(&mut self, node: usize) -> Node {
        self.started += 1;
        Node {
            synchronizer: Synchronizer::new(name(node), settings(), self.started),
            relay: false,
            watch: None,
            highest: Revision(0),
        }
    }

    pub fn replace(&mut self, node: usize, now: Timestamp) {
        let relay = self.nodes[node].relay;
        self.nodes[node] = self.fresh(node);
        self.set_relay(node, relay, now);
    }

    pub fn set_relay(&mut self, node: usize, relay: bool, now: Timestamp) {
        self.nodes[node].relay = relay;
        let relays: Vec<NodeName> = relay.then(|| name(node)).into_iter().collect();
        let synchronizer = &mut self.nodes[node].synchronizer;
        let actions = synchronizer.set_relays(&relays, 1, now);
        self.carry_out(node, actions);
    }

    pub fn has_relay(&self) -> bool {
        self.nodes.iter().any(|node| node.relay)
    }

    pub fn tick(&mut self, now: Timestamp) {
        for node in 0..NODES {
            let actions = self.nodes[node].synchronizer.tick(now);
            self.carry_out(node, actions);
        }
    }

    pub fn probe(&mut self, from: usize, to: usize) {
        let body = Body::Revision(self.nodes[from].synchronizer.revision());
        self.messages.push(Message { from, to, body });
    }

    pub fn messages(&self) -> usize {
        self.messages.len()
    }

    pub fn deliver(&mut self, index: usize, fate: MessageFate, now: Timestamp) {
        let message = self.messages.swap_remove(index);
        match fate {
            MessageFate::Lost => {}
            MessageFate::Delivered => self.receive(message, now),
            MessageFate::Repeated => {
                self.messages.push(message.clone());
                self.receive(message, now);
            }
        }
    }

    fn receive(&mut self, message: Message, now: Timestamp) {
        let Message { from, to, body } = message;
        let synchronizer = &mut self.nodes[to].synchronizer;
        let actions = match body {
            Body::Revision(revision) => synchronizer.peer_revision(name(from), revision, now),
            Body::Reply(reply) => synchronizer.pull_reply(&name(from), reply, now),
            Body::Request(request) => {
                let body = Body::Reply(synchronizer.pull_request(request));
                self.messages.push(Message {
                    from: to,
                    to: from,
                    body,
                });
                return;
            }
        };
        self.carry_out(to, actions);
    }

    /// Lets the node's watch report, if one is open.
    pub fn watch(&mut self, node: usize, fails: bool, service: &Service, now: Timestamp) {
        let Some(mut watch) = self.nodes[node].watch.take() else {
            return;
        };
        if fails || service.down {
            let failure = WatchReport::Failed(WatchFailure::default());
            self.report(node, watch.id, failure, now);
            return;
        }
        let current = Revision(service.current());
        let report = match current.0 - watch.reported.0 > MOST_CHANGES_REPORTED {
            true => WatchReport::Snapshot(service.snapshot_at(current.0)),
            false => WatchReport::Changes(service.changes_after(watch.reported)),
        };
        watch.reported = current;
        let id = watch.id;
        self.nodes[node].watch = Some(watch);
        let established = WatchReport::Established { revision: current };
        self.report(node, id, report, now);
        self.report(node, id, established, now);
    }

    fn report(&mut self, node: usize, watch: WatchId, report: WatchReport, now: Timestamp) {
        let synchronizer = &mut self.nodes[node].synchronizer;
        let actions = synchronizer.watch_report(watch, report, now);
        self.carry_out(node, actions);
    }

    pub fn garbage(&mut self, node: usize, garbage: Garbage, service: &Service, now: Timestamp) {
        let from = (node + 1) % NODES;
        let Some(body) = garbage_body(garbage, service) else {
            let before = service.current().saturating_sub(1);
            let report = WatchReport::Snapshot(service.snapshot_at(before));
            return self.report(node, WatchId::default(), report, now);
        };
        let to = node;
        self.receive(Message { from, to, body }, now);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<SyncAction>) {
        for action in actions {
            match action {
                SyncAction::Pull { peer, request } => {
                    let to = (0..NODES).find(|index| name(*index) == peer);
                    self.messages.push(Message {
                        from: node,
                        to: to.expect("a known peer"),
                        body: Body::Request(request),
                    });
                }
                SyncAction::OpenWatch { watch: id, have } => {
                    let reported = have;
                    self.nodes[node].watch = Some(Watch { id, reported });
                }
                SyncAction::CloseWatch => self.nodes[node].watch = None,
                SyncAction::InForce(snapshot) => {
                    let highest = &mut self.nodes[node].highest;
                    assert!(
                        snapshot.revision > *highest,
                        "node {node} returned to an older revision"
                    );
                    *highest = snapshot.revision;
                }
            }
        }
    }

    /// Asserts that every node holds the documents of its revision and has reported them as in force.
    pub fn check(&self, service: &Service) {
        for (index, node) in self.nodes.iter().enumerate() {
            let snapshot = node.synchronizer.snapshot();
            let revision = snapshot.revision;
            assert_eq!(revision, node.highest, "node {index}");
            assert!(
                revision.0 <= service.current(),
                "node {index} at {revision:?}"
            );
            let expected = service.documents_at(revision.0);
            assert_eq!(
                *snapshot.documents, *expected,
                "node {index} at {revision:?}"
            );
            let counters = node.synchronizer.counters();
            assert_eq!(counters.contradictions, 0, "node {index}");
            assert_eq!(counters.service_behind, 0, "node {index}");
        }
    }

    pub fn converged(&self, service: &Service) -> bool {
        let current = Revision(service.current());
        let mut nodes = self.nodes.iter();
        nodes.all(|node| node.synchronizer.revision() == current)
    }

    pub fn revisions(&self) -> Vec<Revision> {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.synchronizer.revision()).collect()
    }

    /// Time after which every wait of a node has ended.
    pub fn longest_wait() -> Duration {
        settings().relay.longest_backoff + settings().relay.refresh * 2
    }
}

/// The invalid or outdated message; `None` for `OldSnapshot`, which a watch reports and not a peer.
fn garbage_body(garbage: Garbage, service: &Service) -> Option<Body> {
    let mut changes = service.changes_after(Revision(0));
    let part = |revision, after| PartOfSnapshot { revision, after };
    let newest = Revision(service.current());
    let reply = match garbage {
        Garbage::OldSnapshot => return None,
        Garbage::FutureRevision => return Some(Body::Revision(Revision(u64::MAX))),
        Garbage::EmptyReply => PullReply::Changes {
            changes: Vec::new(),
        },
        Garbage::OldChanges => {
            changes.truncate(2);
            PullReply::Changes { changes }
        }
        Garbage::LoneNewestChange => {
            let changes = changes.pop().into_iter().collect();
            PullReply::Changes { changes }
        }
        Garbage::ReversedChanges => {
            changes.reverse();
            PullReply::Changes { changes }
        }
        Garbage::LateSnapshotPart => PullReply::Part {
            part: part(newest, Some(last_key())),
            last: true,
            documents: Vec::new(),
        },
        Garbage::EmptySnapshotPart => PullReply::Part {
            part: part(Revision(u64::MAX), None),
            last: false,
            documents: Vec::new(),
        },
    };
    Some(Body::Reply(reply))
}

/// A key that sorts after those of all documents.
fn last_key() -> DocumentKey {
    DocumentKey {
        kind: DocumentKind::Tenant,
        name: "zzz".into(),
    }
}
