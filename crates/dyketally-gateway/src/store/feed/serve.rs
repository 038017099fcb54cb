//! The relay's side of a feed.

use std::rc::Rc;
use std::time::Duration;

use futures::SinkExt;
use tokio::net::TcpStream;

use super::SUBJECTS;
use super::message::{FeedMessage, encode};
use crate::fleet::link::frames;
use crate::gateway::Gateway;

/// Pause between two signs of life of a relay.
pub(super) const ALIVE_INTERVAL: Duration = Duration::from_secs(1);

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
