//! The relay's side of a feed.

use std::rc::Rc;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;

use super::SUBJECTS;
use super::message::{FeedMessage, Ping, decode, encode};
use crate::fleet::link::frames;
use crate::gateway::Gateway;

/// Serves a node that follows this one, for as long as this one watches the store itself. A relay
/// goes on while the store is lost, and tells so: that all its followers ask the store helps nobody.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let may_serve = || gateway.feed.is_relaying() && !gateway.is_stopping();
    if !may_serve() {
        return;
    }
    let mut changes = gateway.feed.changes.subscribe();
    let (mut sink, mut pings) = frames(stream).split();
    let first = encode(&gateway.pong(0));
    let whole = SUBJECTS.map(|subject| gateway.feed.whole(subject));
    for message in std::iter::once(first).chain(whole) {
        let Some(message) = message else {
            return;
        };
        if sink.send(message).await.is_err() {
            return;
        }
    }
    loop {
        let message = tokio::select! {
            change = changes.recv() => match change {
                Ok(change) => Some(change),
                // The follower is too far behind, and begins anew.
                Err(RecvError::Lagged(_) | RecvError::Closed) => return,
            },
            ping = pings.next() => match ping {
                Some(Ok(ping)) => {
                    let ping: Option<Ping> = decode(&ping);
                    ping.and_then(|ping| encode(&gateway.pong(ping.number)))
                }
                // The follower left.
                Some(Err(_)) | None => return,
            },
        };
        let Some(message) = message else {
            return;
        };
        if !may_serve() || sink.send(message).await.is_err() {
            return;
        }
    }
}

impl Gateway {
    fn pong(&self, ping: u64) -> FeedMessage {
        let mut contact = self.relay_contact();
        if let Some(lost_for) = self.feed.watches_lost_for() {
            contact.store = contact.store.map(|age| age.max(lost_for));
        }
        FeedMessage::Pong { ping, contact }
    }
}
