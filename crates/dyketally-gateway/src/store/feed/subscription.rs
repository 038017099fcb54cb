//! The connection to the relay that this node follows, from the relay's first message until it is left. Owns the
//! connection and the record of which subjects have arrived; relies on the feed for copies and contact, and on the
//! subjects' handlers to apply updates.

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
use super::nearer_relay::until_nearer_relay;
use super::pings::{LastReceived, Pings};
use super::subject::{SUBJECTS, Subject};
use super::updates::{Source, UpdateHandler};
use super::{CONTACT_LOST_AGE, Feed};
use crate::event::{Event, Form};
use crate::fleet::link::Frames;
use dyketally_store::update::StoreUpdate;

/// Pause between two pings. A contact with the store is valid for 2.9 s, and the relay's own is at most 0.8 s old, so
/// three pings may be lost.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// Pause between two pings while the relay has lost the store: its contact with the other nodes is valid for
/// only 0.9 s.
const PING_INTERVAL_IN_OUTAGE: Duration = Duration::from_millis(300);
/// Age of a relay's contact with the store from which on it is pinged as often as in an outage. A relay renews its
/// lease every 0.7 s, and a follower has to leave a relay that has lost the store early enough for another relay's
/// reply to arrive before the follower's own contact expires.
const STORE_QUIET: Duration = Duration::from_millis(1_100);
/// Time without any data after which a relay is given up; the reason in the log states it.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// How long a relay that has lost the store is followed before other relays are tried again.
const FALLBACK_LIMIT: Duration = Duration::from_secs(3);
/// Pause between two checks whether this node should watch the store itself, for example as a new relay. The check
/// ranks all nodes; to do so after each of many updates would cost more than the updates themselves.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// How long a relay or coordinator whose own watch was lost follows another relay before it tries to watch the store
/// again. During such an attempt it gets no updates, and a failed attempt may use up its link for nothing.
const WATCH_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Which relays are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayRequirement {
    /// Only relays that have contact with the store.
    InContact,
    /// Any relay, since none has contact with the store.
    Any,
}

/// Where this node gets its updates after it left a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextSource {
    /// From a relay of this node's zone, which has contact with the store.
    NearerRelay,
    /// From the next relay in order of preference.
    OtherRelay,
    /// From the store, which this node watches itself.
    Store,
}

/// How a subscription ended.
pub(super) struct SubscriptionEnd {
    /// Why it ended, for the log.
    pub(super) reason: &'static str,
    /// Where this node gets its updates next.
    pub(super) next: NextSource,
    /// False if the relay is to be excluded for a while.
    pub(super) may_be_followed_again: bool,
}

impl SubscriptionEnd {
    /// The end of a subscription whose relay failed: the relay is excluded for a while.
    pub(super) fn failed(reason: &'static str) -> Self {
        Self {
            reason,
            next: NextSource::OtherRelay,
            may_be_followed_again: false,
        }
    }

    /// The end of a subscription whose relay may be followed again at once.
    fn left(reason: &'static str, next: NextSource) -> Self {
        Self {
            reason,
            next,
            may_be_followed_again: true,
        }
    }
}

/// What all subscriptions of this node share.
pub(super) struct SubscriptionContext {
    /// This node's feed, with its copies of all subjects.
    pub(super) feed: Rc<Feed>,
    /// The handler of each subject, which applies its updates.
    pub(super) handlers: HashMap<Subject, UpdateHandler>,
    /// The key of this node's record in the store.
    pub(super) own_key: Key,
    /// True once this node has taken over contact with the store from a relay.
    pub(super) had_contact_through_relay: Cell<bool>,
}

/// The connection to a relay that is being followed.
pub(super) struct Subscription<'a> {
    context: &'a SubscriptionContext,
    relay: SocketAddr,
    frames: Frames,
    requirement: RelayRequirement,
    began: Instant,
    /// Subjects of which the relay has sent a snapshot or confirmed this node's copy.
    complete: HashSet<Subject>,
    pings: Pings,
    /// When the next ping is due; `None` until the relay has sent its first message.
    next_ping: Option<Instant>,
    /// When data last arrived from the relay.
    last_received: LastReceived,
    /// When this node last checked whether it should watch the store itself.
    last_check: Instant,
    /// True while the relay reports that it has lost the store.
    relay_lost_store: bool,
    /// True while the relay reports no contact with the store within [`STORE_QUIET`].
    store_is_quiet: bool,
}

impl<'a> Subscription<'a> {
    /// A subscription to a relay over a new connection.
    pub(super) fn new(
        context: &'a SubscriptionContext,
        relay: SocketAddr,
        frames: Frames,
        requirement: RelayRequirement,
    ) -> Self {
        let began = Instant::now();
        Self {
            context,
            relay,
            frames,
            requirement,
            began,
            complete: HashSet::new(),
            pings: Pings::default(),
            next_ping: None,
            last_received: LastReceived::new(began),
            last_check: began,
            relay_lost_store: false,
            store_is_quiet: false,
        }
    }

    /// Follows the relay until it fails or is left.
    pub(super) async fn run(mut self) -> SubscriptionEnd {
        let nearer = until_nearer_relay(&self.context.feed, self.relay);
        tokio::pin!(nearer);
        loop {
            let result = tokio::select! {
                message = self.frames.next() => self.receive_frame(message),
                () = until(self.next_ping) => self.send_ping().await,
                () = tokio::time::sleep_until(self.last_received.at + SILENCE_LIMIT) => {
                    if self.last_received.record_progress(&self.frames) {
                        continue;
                    }
                    Err(SubscriptionEnd::failed("the relay sent nothing for 2.5 s"))
                }
                () = &mut nearer => {
                    let reason = "a relay of this node's zone has contact with the store again";
                    Err(SubscriptionEnd::left(reason, NextSource::NearerRelay))
                }
            };
            if let Err(ended) = result.and_then(|()| self.check_whether_to_leave()) {
                return ended;
            }
        }
    }

    /// Sends the next ping and sets when the one after it is due.
    async fn send_ping(&mut self) -> Result<(), SubscriptionEnd> {
        self.last_received.record_progress(&self.frames);
        self.next_ping = Some(Instant::now() + self.ping_interval());
        let unreachable = || SubscriptionEnd::failed("a ping couldn't be sent to the relay");
        let ping = self.ping().ok_or_else(unreachable)?;
        self.frames.send(ping).await.map_err(|_| unreachable())
    }

    fn ping_interval(&self) -> Duration {
        let interval = match self.relay_lost_store || self.store_is_quiet {
            true => PING_INTERVAL_IN_OUTAGE,
            false => PING_INTERVAL,
        };
        let access = &self.context.feed.cx.settings.access;
        let confirmed_each = access.key_policy().confirmed_each();
        confirmed_each.map_or(interval, |each| interval.min(each))
    }

    /// The next ping; the first one also contains the digests of this node's copies.
    fn ping(&mut self) -> Option<Bytes> {
        let feed = &self.context.feed;
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

    /// Receives a frame; `None` or an error means that the connection has ended.
    fn receive_frame(
        &mut self,
        frame: Option<io::Result<BytesMut>>,
    ) -> Result<(), SubscriptionEnd> {
        let Some(Ok(frame)) = frame else {
            return Err(SubscriptionEnd::failed(
                "the relay closed the connection or it broke",
            ));
        };
        self.last_received = LastReceived::new(Instant::now());
        let message = decode(&frame)
            .ok_or_else(|| SubscriptionEnd::failed("the relay sent an undecodable message"))?;
        self.receive(message).map_err(|reason| SubscriptionEnd {
            reason,
            next: NextSource::OtherRelay,
            may_be_followed_again: self.relay_lost_store,
        })?;
        self.next_ping.get_or_insert(self.last_received.at);
        Ok(())
    }

    /// Checks whether this node should leave the relay.
    fn check_whether_to_leave(&mut self) -> Result<(), SubscriptionEnd> {
        let is_fallback = self.requirement == RelayRequirement::Any && self.relay_lost_store;
        if is_fallback && self.began.elapsed() >= FALLBACK_LIMIT {
            let reason = "the relay has lost the store; another one may have contact with it";
            return Err(SubscriptionEnd::left(reason, NextSource::OtherRelay));
        }
        if self.last_check.elapsed() < CHECK_INTERVAL {
            return Ok(());
        }
        self.last_check = Instant::now();
        let feed = &self.context.feed;
        if feed.fleet.membership.is_known() && !feed.may_follow_relays() {
            let reason = "this node watches the store itself now";
            return Err(SubscriptionEnd::left(reason, NextSource::Store));
        }
        if self.began.elapsed() >= WATCH_RETRY_INTERVAL && feed.may_retry_watch() {
            let reason = "this node tries to watch the store itself again";
            return Err(SubscriptionEnd::left(reason, NextSource::Store));
        }
        Ok(())
    }

    /// Applies a message from the relay; an error says why the relay can't be followed any longer.
    fn receive(&mut self, message: FeedMessage) -> Result<(), &'static str> {
        match message {
            FeedMessage::Unchanged {
                subject,
                complete_to,
            } => {
                self.receive_complete(subject, complete_to)?;
                self.receive_confirmation(subject);
                self.subscribe_if_complete();
                Ok(())
            }
            FeedMessage::Pong {
                ping,
                contact,
                configuration_age,
            } => {
                let ping_sent = self.pings.record_reply(ping);
                self.receive_configuration_age(ping_sent, configuration_age);
                self.receive_contact(ping_sent, contact)
            }
            FeedMessage::Snapshot {
                subject,
                complete_to,
                entries,
            } => {
                self.receive_complete(subject, complete_to)?;
                self.receive_update(subject, StoreUpdate::All(entries), Form::Copy);
                Ok(())
            }
            FeedMessage::Patched { subject, patch } => {
                let entry = self.context.feed.copies.patched_entry(subject, &patch);
                let entry = entry
                    .ok_or("the relay sent a change to a version that this node doesn't have")?;
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
        self.context
            .feed
            .receive_update(subject, &update, source, form);
        if let Some(handler) = self.context.handlers.get(&subject) {
            handler(update);
        }
        self.subscribe_if_complete();
    }

    /// Has the copy of the announcements, which the relay confirmed, applied like a snapshot: their handler has to know
    /// that all of them have been read.
    fn receive_confirmation(&self, subject: Subject) {
        if subject != Subject::Announcements {
            return;
        }
        if let Some(handler) = self.context.handlers.get(&subject) {
            let entries = self.context.feed.copies.entries(subject);
            handler(StoreUpdate::All(entries));
        }
    }

    /// Records that the relay's copy of a subject is complete up to `complete_to`, and that this node has that copy or
    /// is about to apply it. Fails if this node's own copy is newer.
    fn receive_complete(
        &mut self,
        subject: Subject,
        complete_to: StoreRevision,
    ) -> Result<(), &'static str> {
        if complete_to < self.context.feed.copies.revision(subject) {
            return Err("the relay's copy is older than this node's");
        }
        self.complete.insert(subject);
        Ok(())
    }

    fn is_complete(&self) -> bool {
        self.complete.len() == SUBJECTS.len()
    }

    /// Records that this node follows the relay once all subjects have arrived.
    fn subscribe_if_complete(&self) {
        let feed = &self.context.feed;
        let replaces_own_watch = || feed.may_retry_watch();
        if !self.is_complete() || !feed.upstream.subscribe(self.relay, replaces_own_watch) {
            return;
        }
        let relay = self.relay.to_string();
        feed.cx.events.write(&Event::RelayFollowed { relay });
        // A node that has just joined counts the store's reply to its registration as contact, but it has no updates
        // from the store yet, and a relay that has lost the store can't bring them: this contact is discarded.
        // Contact taken over from an earlier relay stays valid: without it the node would be isolated until it has
        // caught up.
        if self.relay_lost_store && !self.context.had_contact_through_relay.get() {
            feed.cx.contact.discard_store_contact();
        }
    }

    /// Records the age of the relay's configuration, as reported in the reply to the ping sent at `ping_sent`. The
    /// relay sends a pong after all changes that it had received before, so this node's copy is as current.
    fn receive_configuration_age(&self, ping_sent: Option<Timestamp>, age: Option<Duration>) {
        let has_configuration = self.complete.contains(&Subject::Configuration);
        if let (Some(ping_sent), Some(age)) = (ping_sent, age)
            && has_configuration
        {
            self.context
                .feed
                .cx
                .record_key_confirmation_by_relay(ping_sent, age);
        }
    }

    /// Records the contact reported in the reply to the ping sent at `ping_sent`; fails if the relay has none although
    /// it is required.
    fn receive_contact(
        &mut self,
        ping_sent: Option<Timestamp>,
        contact: RelayContact,
    ) -> Result<(), &'static str> {
        self.relay_lost_store = contact.store.is_none_or(|age| age > CONTACT_LOST_AGE);
        self.store_is_quiet = contact.store.is_none_or(|age| age > STORE_QUIET);
        if self.relay_lost_store && self.requirement == RelayRequirement::InContact {
            return Err("the relay reports no contact with the store within 2 s");
        }
        if !self.relay_lost_store {
            self.requirement = RelayRequirement::InContact;
        }
        let feed = &self.context.feed;
        // Fences don't wait for a node that isn't in the list of nodes, so such a node gets no contact through a relay.
        let is_listed = feed.lists(Subject::Nodes, &self.context.own_key);
        if let Some(ping_sent) = ping_sent
            && self.is_complete()
            && is_listed
        {
            if contact.store.is_some() {
                self.context.had_contact_through_relay.set(true);
            }
            feed.receive_relay_contact(ping_sent, contact);
        }
        Ok(())
    }
}

/// Waits until `at`; forever if that is `None`.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

const _: () = assert!(PING_INTERVAL.as_millis() * 3 < SILENCE_LIMIT.as_millis());
