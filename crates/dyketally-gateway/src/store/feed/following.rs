//! One relay that is followed, from its first message until it is left.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use dyketally::time::Timestamp;
use dyketally_store::key_value::{StoreRevision, WatchEvent};
use futures::{SinkExt, StreamExt};
use tokio::time::Instant;

use super::follow::{Follower, SEARCH_INTERVAL};
use super::message::{FeedMessage, FirstPing, Ping, decode, encode};
use super::nearer::until_nearer_relay;
use super::pings::{Heard, Pings};
use super::{Form, OUT_OF_TOUCH, SUBJECTS, Source, Subject};
use crate::context::contact::RelayContact;
use crate::event::Event;
use crate::fleet::link::Frames;
use dyketally_store::update::StoreUpdate;

/// Pause between two pings. A contact with the store holds for 2.9 s; the relay's own is at most
/// 0.8 s old, so three pings may be lost.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// Pause between two pings while the relay has lost the store: its contact with the other nodes
/// holds for 0.9 s only.
const PING_INTERVAL_IN_OUTAGE: Duration = Duration::from_millis(300);
/// Age of a relay's contact with the store from which on it is pinged as in an outage: a relay in touch
/// renews its lease each 0.7 s, and one that is left for being out of touch has to be left early enough
/// for another one's reply to arrive before this node's own contact has run out.
const STORE_QUIET: Duration = Duration::from_millis(1_100);
/// Silence after which a relay is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// How long a relay that is out of touch is followed before others are tried again.
const REVIEW_INTERVAL: Duration = Duration::from_secs(3);

/// How long a relay that lost its news follows others before it sees whether it can watch the store
/// again: it goes without news meanwhile, and its attempt may fill its link in vain.
const OWN_WATCH_INTERVAL: Duration = Duration::from_secs(10);

/// Which relays are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Demand {
    /// Those in touch with the store.
    InTouch,
    /// Any, for a while: no relay is in touch with the store.
    Any,
}

/// Which relay is followed next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// One of the own zone, which is in touch.
    Nearer,
    /// The next best.
    Other,
    /// None: this node watches the store itself.
    Store,
}

/// Why a relay is followed no longer.
pub(super) struct Ended {
    pub(super) reason: &'static str,
    pub(super) next: Next,
    /// False when the relay should be passed over for a while.
    pub(super) may_be_followed_again: bool,
}

impl Ended {
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

/// One relay that is being followed.
pub(super) struct Following<'a> {
    follower: &'a Follower,
    relay: SocketAddr,
    frames: Frames,
    demand: Demand,
    /// Subjects that the relay has sent as a whole.
    whole: HashSet<Subject>,
    pings: Pings,
    /// True while the relay has lost the store.
    in_outage: bool,
    /// True while the relay hasn't heard from the store for a while.
    is_quiet: bool,
}

impl<'a> Following<'a> {
    /// A relay that was just connected to.
    pub(super) fn new(
        follower: &'a Follower,
        relay: SocketAddr,
        frames: Frames,
        demand: Demand,
    ) -> Self {
        Self {
            follower,
            relay,
            frames,
            demand,
            whole: HashSet::new(),
            pings: Pings::default(),
            in_outage: false,
            is_quiet: false,
        }
    }

    /// Follows the relay until that ends.
    pub(super) async fn run(mut self) -> Ended {
        let gateway = self.follower.gateway.clone();
        let began = Instant::now();
        // The relay speaks first.
        let mut next_ping = None;
        let mut heard = Heard::new(began);
        let mut looked = began;
        let nearer = until_nearer_relay(&gateway, self.relay);
        tokio::pin!(nearer);
        loop {
            let message = tokio::select! {
                message = self.frames.next() => Some(message),
                () = until(next_ping) => None,
                () = tokio::time::sleep_until(heard.at + SILENCE_LIMIT) => {
                    if heard.more_than_before(&self.frames) {
                        continue;
                    }
                    return Ended::failed("it is silent");
                }
                () = &mut nearer => {
                    let reason = "a relay of this node's zone is in touch again";
                    return Ended::left(reason, Next::Nearer);
                }
            };
            match message {
                None => {
                    heard.more_than_before(&self.frames);
                    next_ping = Some(Instant::now() + self.ping_interval());
                    if self.send_ping().await.is_none() {
                        return Ended::failed("it can't be reached");
                    }
                }
                Some(Some(Ok(message))) => {
                    heard = Heard::new(Instant::now());
                    let Some(message) = decode(&message) else {
                        return Ended::failed("it sent what is no message");
                    };
                    if let Err(reason) = self.take(message) {
                        return Ended {
                            reason,
                            next: Next::Other,
                            may_be_followed_again: self.in_outage,
                        };
                    }
                    next_ping.get_or_insert(heard.at);
                }
                Some(Some(Err(_)) | None) => {
                    return Ended::failed("it watches the store no longer");
                }
            }
            let reviews = self.demand == Demand::Any && self.in_outage;
            if reviews && began.elapsed() >= REVIEW_INTERVAL {
                let reason = "another one may be in touch with the store";
                return Ended::left(reason, Next::Other);
            }
            // Ranking all nodes behind each of many changes would cost more than they do.
            if looked.elapsed() >= SEARCH_INTERVAL {
                looked = Instant::now();
                if gateway.fleet.membership.is_known() && !gateway.may_follow_relays() {
                    let reason = "this node watches the store itself now";
                    return Ended::left(reason, Next::Store);
                }
                if began.elapsed() >= OWN_WATCH_INTERVAL && gateway.may_watch_again() {
                    let reason = "this node sees whether it can watch the store again";
                    return Ended::left(reason, Next::Store);
                }
            }
        }
    }

    fn ping_interval(&self) -> Duration {
        let interval = match self.in_outage || self.is_quiet {
            true => PING_INTERVAL_IN_OUTAGE,
            false => PING_INTERVAL,
        };
        let access = &self.follower.gateway.cx.settings.access;
        let confirmed_each = access.key_policy().confirmed_each();
        confirmed_each.map_or(interval, |each| interval.min(each))
    }

    async fn send_ping(&mut self) -> Option<()> {
        let number = self.pings.send(self.follower.gateway.cx.now());
        let ping = Ping { number };
        let message = match number {
            1 => {
                let known = self.follower.gateway.feed.digests();
                encode(&FirstPing { ping, known })?
            }
            _ => encode(&ping)?,
        };
        self.frames.send(message).await.ok()
    }

    /// Takes in a message; why the relay can't be followed if that is so.
    fn take(&mut self, message: FeedMessage) -> Result<(), &'static str> {
        let gateway = &self.follower.gateway;
        let (subject, update, form) = match message {
            FeedMessage::Unchanged {
                subject,
                complete_to,
            } => {
                self.take_whole(subject, complete_to)?;
                self.note_if_fed();
                return Ok(());
            }
            FeedMessage::Pong {
                ping,
                contact,
                configuration_age,
            } => {
                let asked = self.pings.answered(ping);
                self.take_configuration_age(asked, configuration_age);
                return self.take_pong(asked, contact);
            }
            FeedMessage::Whole {
                subject,
                complete_to,
                entries,
            } => {
                self.take_whole(subject, complete_to)?;
                (subject, StoreUpdate::All(entries), Form::Copy)
            }
            FeedMessage::Patched { subject, patch } => {
                let entry = gateway.feed.patched(subject, &patch);
                let entry = entry.ok_or("it changed what this node doesn't have")?;
                let update = StoreUpdate::Changed(WatchEvent::Put(entry));
                (subject, update, Form::Difference)
            }
            FeedMessage::Changed { subject, event } => {
                (subject, StoreUpdate::Changed(event), Form::Change)
            }
        };
        gateway.take_news(subject, &update, Source::Relay(self.relay), form);
        if let Some(sink) = self.follower.sinks.get(&subject) {
            sink(update);
        }
        self.note_if_fed();
        Ok(())
    }

    /// Takes in that the follower has all of a subject as it was at `complete_to`.
    fn take_whole(
        &mut self,
        subject: Subject,
        complete_to: StoreRevision,
    ) -> Result<(), &'static str> {
        if complete_to < self.follower.gateway.feed.revision(subject) {
            return Err("it is behind");
        }
        self.whole.insert(subject);
        Ok(())
    }

    /// Takes in that the relay feeds this node, once it has told of all subjects.
    fn note_if_fed(&self) {
        let gateway = &self.follower.gateway;
        if self.whole.len() == SUBJECTS.len() && !gateway.feed.fed.send_replace(true) {
            gateway.feed.relay.set(Some(self.relay));
            let stepped_back = gateway.may_watch_again();
            gateway.feed.stepped_back.set(stepped_back);
            let relay = self.relay.to_string();
            gateway.cx.events.write(&Event::RelayFollowed { relay });
            // A node that has just joined has heard from the store, but none of its news. What a former
            // relay vouched for holds under the next one, too: to drop it would isolate the node for as
            // long as it takes to catch up.
            if self.in_outage && !self.follower.was_vouched_for.get() {
                gateway.cx.contact.disregard_store();
            }
        }
    }

    /// A pong tells that everything the relay had heard before was passed on; it was asked for at `asked`.
    fn take_configuration_age(&self, asked: Option<Timestamp>, age: Option<Duration>) {
        let has_configuration = self.whole.contains(&Subject::Configuration);
        if let (Some(asked), Some(age)) = (asked, age)
            && has_configuration
        {
            let gateway = &self.follower.gateway;
            gateway.cx.keys_confirmed_by_relay(asked, age);
        }
    }

    fn take_pong(
        &mut self,
        asked: Option<Timestamp>,
        contact: RelayContact,
    ) -> Result<(), &'static str> {
        let gateway = &self.follower.gateway;
        self.in_outage = contact.store.is_none_or(|age| age > OUT_OF_TOUCH);
        self.is_quiet = contact.store.is_none_or(|age| age > STORE_QUIET);
        if self.in_outage && self.demand == Demand::InTouch {
            return Err("it is out of touch with the store");
        }
        if !self.in_outage {
            self.demand = Demand::InTouch;
        }
        let is_fed = self.whole.len() == SUBJECTS.len();
        // A node that the others don't know of isn't in touch with them.
        let is_listed = gateway.feed.lists(Subject::Nodes, &self.follower.own_key);
        if let Some(asked) = asked
            && is_fed
            && is_listed
        {
            let vouched = contact.store.is_some();
            self.follower
                .was_vouched_for
                .set(vouched || self.follower.was_vouched_for.get());
            gateway.take_relay_contact(asked, contact);
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
