//! Finds a usable relay of this node's own zone while the node follows a relay of another zone. Owns nothing.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use rand::Rng;

use super::message::{FeedMessage, decode};
use super::relays::CONNECT_LIMIT;
use super::{CONTACT_LOST_AGE, Feed};
use crate::fleet::link::frames;
use crate::fleet::opening::{self, Opening};

/// Pause between two searches for a relay of the own zone.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);
/// Upper bound of the random time that is added to each pause: nodes that lost their relays together then don't
/// all connect to the next one at once.
const SEARCH_JITTER: Duration = Duration::from_secs(1);

/// Waits until a relay of the own zone has contact with the store while `followed` is a relay of another zone. The
/// relay's contact is checked before `followed` is left, since a new relay may have to send all subjects again.
pub(super) async fn until_nearer_relay(feed: &Feed, followed: SocketAddr) {
    loop {
        let jitter = SEARCH_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(SEARCH_INTERVAL + jitter).await;
        let nearer = feed.relays_of_own_zone();
        if nearer.contains(&followed) {
            continue;
        }
        for relay in nearer {
            let check = tokio::time::timeout(CONNECT_LIMIT, is_in_contact(relay));
            if matches!(check.await, Ok(Some(true))) {
                return;
            }
            feed.upstream.excluded.add(relay);
        }
    }
}

/// Whether a relay reports contact with the store in its first message; `None` if it can't be reached or accepts
/// no followers.
async fn is_in_contact(relay: SocketAddr) -> Option<bool> {
    let stream = opening::open(relay, &Opening::Feed).await.ok()?;
    let first = frames(stream).next().await?.ok()?;
    match decode(&first)? {
        FeedMessage::Pong { contact, .. } => {
            Some(contact.store.is_some_and(|age| age <= CONTACT_LOST_AGE))
        }
        FeedMessage::Snapshot { .. }
        | FeedMessage::Changed { .. }
        | FeedMessage::Patched { .. }
        | FeedMessage::Unchanged { .. } => None,
    }
}
