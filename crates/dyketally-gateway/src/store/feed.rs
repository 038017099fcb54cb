//! Keys of the store passed on between nodes, so that in a large fleet not every node has to watch
//! the store: in each zone a few relays do, and the others follow one of these over a link.
//!
//! What a node has is never replaced by something older: a relay whose copy is behind is passed
//! over. A relay serves only while it watches the store itself and its watches stand, so a chain
//! or a ring can't form. A node that finds no relay watches the store itself.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::identifiers::NodeName;
use dyketally::placement;
use dyketally_store::key_value::{Entry, Key, StoreRevision, WatchEvent};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::{broadcast, watch};
use tokio::time::Instant;

use crate::event::Event;
use crate::fleet::link::{Frames, frames};
use crate::fleet::passed_over::PassedOver;
use crate::fleet::relay::{self, Opening};
use crate::gateway::Gateway;
use crate::store::follow::StoreUpdate;

/// Nodes up to which every node watches the store itself.
const SMALL_FLEET: usize = 12;
/// Nodes of a zone that watch the store for the others.
const RELAYS_PER_ZONE: usize = 2;
/// Pause between two signs of life of a relay.
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a relay is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest time that connecting to a relay may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long after its start a node looks for a relay: first it must know its neighbours.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Pause between two searches for a relay.
const SEARCH_INTERVAL: Duration = Duration::from_millis(400);
/// How long a node that lost its relay looks for another before it asks the store.
const SEARCH_LIMIT: Duration = Duration::from_millis(900);
/// How long a relay whose watch was lost is still followed: when the store is down, asking it from
/// everywhere helps nobody.
const OUTAGE_BORNE: Duration = Duration::from_secs(3);
/// Changes that a slow follower may be behind.
const CHANGES_KEPT: usize = 256;

/// What is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The databases' announcements.
    Announcements,
    /// The nodes' keys and the duty.
    Nodes,
}

const SUBJECTS: [Subject; 2] = [Subject::Announcements, Subject::Nodes];

/// What a relay sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum FeedMessage {
    /// All keys of a subject, and the store's revision up to which nothing is missing: a deletion
    /// before it leaves no other trace.
    Whole {
        subject: Subject,
        complete_to: StoreRevision,
        entries: Vec<Entry>,
    },
    /// A key changed.
    Changed { subject: Subject, event: WatchEvent },
    /// Nothing changed.
    Alive,
}

/// This node's copy of one subject.
#[derive(Debug, Default)]
struct Copy {
    entries: BTreeMap<Key, Entry>,
    /// The revision of the last change that is known.
    revision: StoreRevision,
    /// The store's revision up to which this copy lacks nothing.
    complete_to: StoreRevision,
    watch: OwnWatch,
}

/// This node's own watch of a subject.
#[derive(Clone, Copy, Debug, Default)]
enum OwnWatch {
    #[default]
    Never,
    Stands,
    LostAt(Instant),
}

impl OwnWatch {
    /// True when followers may rely on it: it stands, or may be back soon.
    fn is_reliable(self) -> bool {
        match self {
            Self::Never => false,
            Self::Stands => true,
            Self::LostAt(at) => at.elapsed() < OUTAGE_BORNE,
        }
    }
}

impl Copy {
    fn replace(&mut self, entries: &[Entry]) {
        self.entries = entries
            .iter()
            .map(|it| (it.key.clone(), it.clone()))
            .collect();
        let newest = entries.iter().map(|entry| entry.modified).max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    fn change(&mut self, event: &WatchEvent) {
        let revision = match event {
            WatchEvent::Put(entry) => {
                self.entries.insert(entry.key.clone(), entry.clone());
                entry.modified
            }
            WatchEvent::Deleted {
                key,
                store_revision,
            } => {
                self.entries.remove(key);
                *store_revision
            }
        };
        self.revision = self.revision.max(revision);
    }
}

/// What this node has of the subjects, and who follows it.
pub struct Feed {
    copies: RefCell<HashMap<Subject, Copy>>,
    changes: broadcast::Sender<Bytes>,
    fed: watch::Sender<bool>,
    /// Relays that failed or are behind.
    passed_over: PassedOver,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            copies: RefCell::default(),
            changes: broadcast::Sender::new(CHANGES_KEPT),
            fed: watch::Sender::new(false),
            passed_over: PassedOver::default(),
        }
    }
}

impl Feed {
    /// Takes in what this node's own watch or its relay told.
    pub fn take(&self, subject: Subject, update: &StoreUpdate) {
        let mut copies = self.copies.borrow_mut();
        let copy = copies.entry(subject).or_default();
        match update {
            StoreUpdate::All(entries) => copy.replace(entries),
            StoreUpdate::Changed(event) => {
                copy.change(event);
                drop(copies);
                self.pass_on(subject, event);
            }
        }
    }

    fn pass_on(&self, subject: Subject, event: &WatchEvent) {
        if self.changes.receiver_count() == 0 {
            return;
        }
        let event = event.clone();
        if let Some(message) = encode(&FeedMessage::Changed { subject, event }) {
            // The last follower may just have left.
            let _ = self.changes.send(message);
        }
    }

    /// Takes in that this node read a subject from the store at `revision` and watches it.
    pub fn watched(&self, subject: Subject, revision: StoreRevision) {
        let mut copies = self.copies.borrow_mut();
        let copy = copies.entry(subject).or_default();
        copy.complete_to = revision;
        copy.watch = OwnWatch::Stands;
    }

    /// Takes in that this node's own watch of a subject was lost or given up.
    pub fn unwatched(&self, subject: Subject) {
        let mut copies = self.copies.borrow_mut();
        copies.entry(subject).or_default().watch = OwnWatch::LostAt(Instant::now());
    }

    /// True while others may follow this node.
    fn is_reliable(&self) -> bool {
        let copies = self.copies.borrow();
        let reliable = |subject| {
            let copy = copies.get(subject);
            copy.is_some_and(|copy: &Copy| copy.watch.is_reliable())
        };
        !*self.fed.borrow() && SUBJECTS.iter().all(reliable)
    }

    fn revision(&self, subject: Subject) -> StoreRevision {
        let copies = self.copies.borrow();
        let copy = copies.get(&subject);
        copy.map_or(StoreRevision::default(), |copy| copy.revision)
    }

    fn whole(&self, subject: Subject) -> FeedMessage {
        let copies = self.copies.borrow();
        let copy = copies.get(&subject);
        let entries = copy.into_iter().flat_map(|copy| copy.entries.values());
        let complete_to = copy.map(|copy| copy.revision.max(copy.complete_to));
        FeedMessage::Whole {
            subject,
            complete_to: complete_to.unwrap_or_default(),
            entries: entries.cloned().collect(),
        }
    }

    /// Waits until a relay feeds this node.
    pub async fn until_fed(&self) {
        let mut fed = self.fed.subscribe();
        // The sender lives as long as the gateway.
        let _ = fed.wait_for(|fed| *fed).await;
    }

    /// Waits until this node has to ask the store itself: no relay feeds it, and none was found
    /// for a while if one did before.
    pub async fn until_unfed(&self) {
        let mut fed = self.fed.subscribe();
        while *fed.borrow_and_update() {
            // The sender lives as long as the gateway.
            let _ = fed.wait_for(|fed| !*fed).await;
            tokio::time::sleep(SEARCH_LIMIT).await;
        }
    }
}

fn encode(message: &FeedMessage) -> Option<Bytes> {
    postcard::to_stdvec(message).ok().map(Bytes::from)
}

/// Serves a node that follows this one, for as long as this one watches the store itself.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let mut frames = frames(stream);
    let mut changes = gateway.feed.changes.subscribe();
    let may_serve = || {
        let reliable = gateway.feed.is_reliable() && !gateway.membership.store_lost();
        reliable && !gateway.is_stopping()
    };
    if !may_serve() {
        return;
    }
    for subject in SUBJECTS {
        let Some(message) = encode(&gateway.feed.whole(subject)) else {
            return;
        };
        if frames.send(message).await.is_err() {
            return;
        }
    }
    while may_serve() {
        let message = match tokio::time::timeout(ALIVE_INTERVAL, changes.recv()).await {
            Ok(Ok(change)) => Some(change),
            // The follower is too far behind, and begins anew.
            Ok(Err(_)) => return,
            Err(_) => encode(&FeedMessage::Alive),
        };
        let Some(message) = message else {
            return;
        };
        if frames.send(message).await.is_err() {
            return;
        }
    }
}

/// Takes in what relays pass on of a subject.
pub type Sink = Rc<dyn Fn(StoreUpdate)>;

/// Follows relays while there are any, until the process ends.
pub async fn follow_relays(gateway: Rc<Gateway>, sinks: HashMap<Subject, Sink>) {
    tokio::time::sleep(SETTLING).await;
    loop {
        if let Some(relay) = gateway.relay_to_follow() {
            let ended = follow_one(&gateway, relay, &sinks).await;
            if gateway.feed.fed.send_replace(false) {
                gateway.events.write(&Event::RelayLost {
                    relay: relay.to_string(),
                    reason: &ended,
                });
            }
            gateway.feed.passed_over.add(relay);
        } else {
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }
}

/// Follows one relay until it is lost; tells why.
async fn follow_one(
    gateway: &Rc<Gateway>,
    relay: SocketAddr,
    sinks: &HashMap<Subject, Sink>,
) -> String {
    let opening = relay::open(relay, &Opening::Feed);
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_LIMIT, opening).await else {
        return "it can't be reached".to_owned();
    };
    let mut frames = frames(stream);
    let mut whole = 0;
    let mut looked = Instant::now();
    loop {
        let Some(message) = next(&mut frames).await else {
            return "it is silent, or watches the store no longer".to_owned();
        };
        if let FeedMessage::Whole {
            subject,
            complete_to,
            ..
        } = &message
        {
            if *complete_to < gateway.feed.revision(*subject) {
                return "it is behind".to_owned();
            }
            whole += 1;
        }
        take_in(gateway, message, sinks);
        if whole == SUBJECTS.len() && !gateway.feed.fed.send_replace(true) {
            gateway.events.write(&Event::RelayFollowed {
                relay: relay.to_string(),
            });
        }
        // Ranking all nodes behind each of many changes would cost more than they do.
        if looked.elapsed() >= SEARCH_INTERVAL {
            looked = Instant::now();
            if gateway.is_relay() {
                return "this node became a relay".to_owned();
            }
        }
    }
}

async fn next(frames: &mut Frames) -> Option<FeedMessage> {
    let message = tokio::time::timeout(SILENCE_LIMIT, frames.next()).await;
    let message = message.ok()??.ok()?;
    postcard::from_bytes(&message).ok()
}

fn take_in(gateway: &Rc<Gateway>, message: FeedMessage, sinks: &HashMap<Subject, Sink>) {
    let (subject, update) = match message {
        FeedMessage::Alive => return,
        FeedMessage::Whole {
            subject, entries, ..
        } => (subject, StoreUpdate::All(entries)),
        FeedMessage::Changed { subject, event } => (subject, StoreUpdate::Changed(event)),
    };
    gateway.feed.take(subject, &update);
    if let Some(sink) = sinks.get(&subject) {
        sink(update);
    }
}

impl Gateway {
    /// The relays of this node's zone, in the order in which it follows them; none in a small
    /// fleet.
    fn zone_relays(&self) -> Vec<NodeName> {
        if self.is_small_fleet() {
            return Vec::new();
        }
        let nodes = self.membership.nodes();
        let zone = self.settings.own_locality();
        let candidates = nodes.values().map(|node| node.candidate());
        let relays = placement::relays(&zone, candidates, RELAYS_PER_ZONE);
        let ordered = placement::preference(&self.settings.node.name, &relays);
        ordered.into_iter().cloned().collect()
    }

    /// True while every node watches the store itself.
    pub fn is_small_fleet(&self) -> bool {
        self.membership.node_count() <= SMALL_FLEET
    }

    fn is_relay(&self) -> bool {
        self.zone_relays().contains(&self.settings.node.name)
    }

    /// The relay that this node should follow, if there is one.
    pub fn relay_to_follow(&self) -> Option<SocketAddr> {
        let relays = self.zone_relays();
        if relays.contains(&self.settings.node.name) {
            return None;
        }
        let nodes = self.membership.nodes();
        let addresses = relays.iter().filter_map(|relay| nodes.get(relay));
        let mut addresses = addresses.map(|node| node.address);
        addresses.find(|address| !self.feed.passed_over.contains(address))
    }
}

const _: () = assert!(ALIVE_INTERVAL.as_millis() * 2 < SILENCE_LIMIT.as_millis());
