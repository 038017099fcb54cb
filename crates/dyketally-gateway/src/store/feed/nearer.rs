//! The way back to a relay of the own zone, for a node that follows one of another zone. Owns nothing.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use rand::Rng;

use super::message::{FeedMessage, decode};
use super::relays::CONNECT_LIMIT;
use super::{Feed, OUT_OF_TOUCH};
use crate::fleet::link::frames;
use crate::fleet::opening::{self, Opening};

/// Pause between two looks for a relay of the own zone, and what is added to it at random: nodes that
/// lost their relays together don't all ask the next one at once. Not measured.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);
const LOOK_SPREAD: Duration = Duration::from_secs(1);

/// Waits until a relay of the own zone has contact with the store while `followed` is none of those.
/// A relay is asked before the other one is left: to follow means to be sent a copy of everything.
pub(super) async fn until_nearer_relay(feed: &Feed, followed: SocketAddr) {
    loop {
        let spread = LOOK_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(LOOK_INTERVAL + spread).await;
        let nearer = feed.relays_of_own_zone();
        if nearer.contains(&followed) {
            continue;
        }
        for relay in nearer {
            let asked = tokio::time::timeout(CONNECT_LIMIT, is_in_touch(relay));
            if matches!(asked.await, Ok(Some(true))) {
                return;
            }
            feed.upstream.passed_over.add(relay);
        }
    }
}

/// Whether a relay has contact with the store, by its first message; `None` if it doesn't serve.
async fn is_in_touch(relay: SocketAddr) -> Option<bool> {
    let stream = opening::open(relay, &Opening::Feed).await.ok()?;
    let first = frames(stream).next().await?.ok()?;
    match decode(&first)? {
        FeedMessage::Pong { contact, .. } => {
            Some(contact.store.is_some_and(|age| age <= OUT_OF_TOUCH))
        }
        FeedMessage::Whole { .. }
        | FeedMessage::Changed { .. }
        | FeedMessage::Patched { .. }
        | FeedMessage::Unchanged { .. } => None,
    }
}
