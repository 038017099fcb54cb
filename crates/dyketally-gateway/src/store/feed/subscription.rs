//! One relay that is followed, from its first message until it is left. Owns the connection and what the relay
//! has sent so far; relies on the feed for copies and contact, and on handlers for what an update changes.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dyketally::time::Timestamp;
use dyketally_store::key_value::{Key, StoreRevision, WatchEvent};
use futures::{SinkExt, StreamExt};
use tokio::time::Instant;

use super::message::{FeedMessage, FirstPing, Ping, RelayContact, decode, encode};
use super::nearer::until_nearer_relay;
use super::pings::{Heard, Pings};
use super::subject::{SUBJECTS, Subject};
use super::updates::{Source, UpdateHandler};
use super::{Feed, OUT_OF_TOUCH};
use crate::event::{Event, Form};
use crate::fleet::link::Frames;
use dyketally_store::update::StoreUpdate;

/// Pause between two pings. A contact with the store holds for 2.9 s; the relay's own is at most 0.8 s
/// old, so three pings may be lost. Not measured.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// Pause between two pings while the relay has lost the store: its contact with the other nodes holds
/// for 0.9 s only. Not measured.
const PING_INTERVAL_IN_OUTAGE: Duration = Duration::from_millis(300);
/// Age of a relay's contact with the store from which on it is pinged as in an outage: a relay renews
/// its lease each 0.7 s, and one that has lost the store must be left early enough for another
/// one's reply to arrive before this node's own contact has run out. Not measured.
const STORE_QUIET: Duration = Duration::from_millis(1_100);
/// Silence after which a relay is given up. Not measured.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// How long a relay that has lost the store is followed before others are tried again. Not measured.
const REVIEW_INTERVAL: Duration = Duration::from_secs(3);
/// Pause between two looks whether this node became a relay: ranking all nodes after each of many
/// changes would cost more than they do. Not measured.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);
/// How long a relay whose own watch was lost follows others before it tries to watch the store again: it
/// receives no updates meanwhile, and its attempt may fill its link in vain. Not measured.
const OWN_WATCH_INTERVAL: Duration = Duration::from_secs(10);

/// Which relays are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Demand {
    /// Those with contact to the store.
    InTouch,
    /// Any, for a while: no relay has contact with the store.
    Any,
}

/// Which relay is followed next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// One of the own zone, which has contact with the store.
    Nearer,
    /// The next best.
    Other,
    /// None: this node watches the store itself.
    Store,
}

/// Why a relay is followed no longer.
pub(super) struct Ended {
    /// For the log.
    pub(super) reason: &'static str,
    /// Which relay is followed next.
    pub(super) next: Next,
    /// False when the relay should be passed over for a while.
    pub(super) may_be_followed_again: bool,
}

impl Ended {
    /// The relay failed, so it is passed over.
    pub(super) fn failed(reason: &'static str) -> Self {
        Self {
            reason,
            next: Next::Other,
            may_be_followed_again: false,
        }
    }

    fn left(reason: &'static str, next: Next) -> Self {
        Self {
            reason,
            next,
            may_be_followed_again: true,
        }
    }
}

/// What all subscriptions of a node share.
pub(super) struct SubscriptionParts {
    /// This node's copies.
    pub(super) feed: Rc<Feed>,
    /// What applies the updates of each subject.
    pub(super) handlers: HashMap<Subject, UpdateHandler>,
    /// The key under which this node is listed.
    pub(super) own_key: Key,
    /// True once a relay has reported contact with the store on behalf of this node.
    pub(super) was_in_touch_by_relay: Cell<bool>,
}

/// One relay that is being followed.
pub(super) struct Subscription<'a> {
    parts: &'a SubscriptionParts,
    relay: SocketAddr,
    frames: Frames,
    demand: Demand,
    began: Instant,
    /// Subjects that the relay has sent as a whole.
    whole: HashSet<Subject>,
    pings: Pings,
    /// When the next ping is due; `None` until the relay, which speaks first, has sent something.
    next_ping: Option<Instant>,
    /// When the relay sent something last.
    heard: Heard,
    /// When this node looked last whether it should watch the store itself.
    looked: Instant,
    /// True while the relay has lost the store.
    in_outage: bool,
    /// True while the store hasn't replied to the relay for a while.
    is_quiet: bool,
}

impl<'a> Subscription<'a> {
    /// A relay that was just connected to.
    pub(super) fn new(
        parts: &'a SubscriptionParts,
        relay: SocketAddr,
        frames: Frames,
        demand: Demand,
    ) -> Self {
        let began = Instant::now();
        Self {
            parts,
            relay,
            frames,
            demand,
            began,
            whole: HashSet::new(),
            pings: Pings::default(),
            next_ping: None,
            heard: Heard::new(began),
            looked: began,
            in_outage: false,
            is_quiet: false,
        }
    }

    /// Follows the relay until that ends.
    pub(super) async fn run(mut self) -> Ended {
        let nearer = until_nearer_relay(&self.parts.feed, self.relay);
        tokio::pin!(nearer);
        loop {
            let turn = tokio::select! {
                message = self.frames.next() => self.receive_frame(message),
                () = until(self.next_ping) => self.send_ping().await,
                () = tokio::time::sleep_until(self.heard.at + SILENCE_LIMIT) => {
                    if self.heard.more_than_before(&self.frames) {
                        continue;
                    }
                    Err(Ended::failed("it is silent"))
                }
                () = &mut nearer => {
                    let reason = "a relay of this node's zone is in touch again";
                    Err(Ended::left(reason, Next::Nearer))
                }
            };
            if let Err(ended) = turn.and_then(|()| self.review()) {
                return ended;
            }
        }
    }

    /// Sends a ping that is due.
    async fn send_ping(&mut self) -> Result<(), Ended> {
        self.heard.more_than_before(&self.frames);
        self.next_ping = Some(Instant::now() + self.ping_interval());
        let unreachable = || Ended::failed("it can't be reached");
        let ping = self.ping().ok_or_else(unreachable)?;
        self.frames.send(ping).await.map_err(|_| unreachable())
    }

    fn ping_interval(&self) -> Duration {
        let interval = match self.in_outage || self.is_quiet {
            true => PING_INTERVAL_IN_OUTAGE,
            false => PING_INTERVAL,
        };
        let access = &self.parts.feed.cx.settings.access;
        let confirmed_each = access.key_policy().confirmed_each();
        confirmed_each.map_or(interval, |each| interval.min(each))
    }

    /// The next ping; the first one also says what this node has already.
    fn ping(&mut self) -> Option<Bytes> {
        let feed = &self.parts.feed;
        let number = self.pings.send(feed.cx.now());
        let ping = Ping { number };
        match number {
            1 => {
                let known = feed.copies.digests();
                encode(&FirstPing { ping, known })
            }
            _ => encode(&ping),
        }
    }

    /// Receives what arrived on the connection, which ended if that is nothing.
    fn receive_frame(&mut self, frame: Option<io::Result<BytesMut>>) -> Result<(), Ended> {
        let Some(Ok(frame)) = frame else {
            return Err(Ended::failed("it watches the store no longer"));
        };
        self.heard = Heard::new(Instant::now());
        let message = decode(&frame).ok_or_else(|| Ended::failed("it sent what is no message"))?;
        self.receive(message).map_err(|reason| Ended {
            reason,
            next: Next::Other,
            may_be_followed_again: self.in_outage,
        })?;
        self.next_ping.get_or_insert(self.heard.at);
        Ok(())
    }

    /// Looks now and then whether this node should leave the relay.
    fn review(&mut self) -> Result<(), Ended> {
        let reviews = self.demand == Demand::Any && self.in_outage;
        if reviews && self.began.elapsed() >= REVIEW_INTERVAL {
            let reason = "another one may be in touch with the store";
            return Err(Ended::left(reason, Next::Other));
        }
        if self.looked.elapsed() < LOOK_INTERVAL {
            return Ok(());
        }
        self.looked = Instant::now();
        let feed = &self.parts.feed;
        if feed.fleet.membership.is_known() && !feed.may_follow_relays() {
            let reason = "this node watches the store itself now";
            return Err(Ended::left(reason, Next::Store));
        }
        if self.began.elapsed() >= OWN_WATCH_INTERVAL && feed.may_watch_again() {
            let reason = "this node sees whether it can watch the store again";
            return Err(Ended::left(reason, Next::Store));
        }
        Ok(())
    }

    /// Receives a message; why the relay can't be followed if that is so.
    fn receive(&mut self, message: FeedMessage) -> Result<(), &'static str> {
        match message {
            FeedMessage::Unchanged {
                subject,
                complete_to,
            } => {
                self.receive_whole(subject, complete_to)?;
                self.subscribe_if_whole();
                Ok(())
            }
            FeedMessage::Pong {
                ping,
                contact,
                configuration_age,
            } => {
                let asked = self.pings.answered(ping);
                self.receive_configuration_age(asked, configuration_age);
                self.receive_contact(asked, contact)
            }
            FeedMessage::Whole {
                subject,
                complete_to,
                entries,
            } => {
                self.receive_whole(subject, complete_to)?;
                self.receive_update(subject, StoreUpdate::All(entries), Form::Copy);
                Ok(())
            }
            FeedMessage::Patched { subject, patch } => {
                let entry = self.parts.feed.copies.patched(subject, &patch);
                let entry = entry.ok_or("it changed what this node doesn't have")?;
                let update = StoreUpdate::Changed(WatchEvent::Put(entry));
                self.receive_update(subject, update, Form::Difference);
                Ok(())
            }
            FeedMessage::Changed { subject, event } => {
                self.receive_update(subject, StoreUpdate::Changed(event), Form::Change);
                Ok(())
            }
        }
    }

    fn receive_update(&mut self, subject: Subject, update: StoreUpdate, form: Form) {
        let source = Source::Relay(self.relay);
        self.parts
            .feed
            .receive_update(subject, &update, source, form);
        if let Some(handler) = self.parts.handlers.get(&subject) {
            handler(update);
        }
        self.subscribe_if_whole();
    }

    /// Records that this node has all of a subject as it was at `complete_to`.
    fn receive_whole(
        &mut self,
        subject: Subject,
        complete_to: StoreRevision,
    ) -> Result<(), &'static str> {
        if complete_to < self.parts.feed.copies.revision(subject) {
            return Err("it is behind");
        }
        self.whole.insert(subject);
        Ok(())
    }

    fn is_whole(&self) -> bool {
        self.whole.len() == SUBJECTS.len()
    }

    /// Records that this node follows the relay, once it has sent all subjects.
    fn subscribe_if_whole(&self) {
        let feed = &self.parts.feed;
        let stepped_back = || feed.may_watch_again();
        if !self.is_whole() || !feed.upstream.subscribe(self.relay, stepped_back) {
            return;
        }
        let relay = self.relay.to_string();
        feed.cx.events.write(&Event::RelayFollowed { relay });
        // A node that has just joined had a reply of the store, but none of its updates. The contact that a
        // former relay reported holds under the next one, too: to drop it would isolate the node for as
        // long as it takes to catch up.
        if self.in_outage && !self.parts.was_in_touch_by_relay.get() {
            feed.cx.contact.disregard_store();
        }
    }

    /// A pong says that everything the relay had received before was passed on; it was asked for at
    /// `asked`.
    fn receive_configuration_age(&self, asked: Option<Timestamp>, age: Option<Duration>) {
        let has_configuration = self.whole.contains(&Subject::Configuration);
        if let (Some(asked), Some(age)) = (asked, age)
            && has_configuration
        {
            self.parts.feed.cx.keys_confirmed_by_relay(asked, age);
        }
    }

    fn receive_contact(
        &mut self,
        asked: Option<Timestamp>,
        contact: RelayContact,
    ) -> Result<(), &'static str> {
        self.in_outage = contact.store.is_none_or(|age| age > OUT_OF_TOUCH);
        self.is_quiet = contact.store.is_none_or(|age| age > STORE_QUIET);
        if self.in_outage && self.demand == Demand::InTouch {
            return Err("it is out of touch with the store");
        }
        if !self.in_outage {
            self.demand = Demand::InTouch;
        }
        let feed = &self.parts.feed;
        // A node that the others don't list isn't waited for by a fence, so it has no contact by way of a relay.
        let is_listed = feed.lists(Subject::Nodes, &self.parts.own_key);
        if let Some(asked) = asked
            && self.is_whole()
            && is_listed
        {
            if contact.store.is_some() {
                self.parts.was_in_touch_by_relay.set(true);
            }
            feed.receive_relay_contact(asked, contact);
        }
        Ok(())
    }
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

const _: () = assert!(PING_INTERVAL.as_millis() * 3 < SILENCE_LIMIT.as_millis());
