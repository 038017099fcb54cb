//! The follower's side of a feed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use tokio::time::Instant;

use super::message::FeedMessage;
use super::serve::ALIVE_INTERVAL;
use super::{SUBJECTS, Subject};
use crate::event::Event;
use crate::fleet::link::{Frames, frames};
use crate::fleet::relay::{self, Opening};
use crate::gateway::Gateway;
use crate::store::follow::StoreUpdate;

/// Silence after which a relay is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest time that connecting to a relay may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long after its start a node looks for a relay: first it must know its neighbours.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Pause between two searches for a relay.
const SEARCH_INTERVAL: Duration = Duration::from_millis(400);

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

const _: () = assert!(ALIVE_INTERVAL.as_millis() * 2 < SILENCE_LIMIT.as_millis());
