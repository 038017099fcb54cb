//! The relay's side of a feed.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Sink, SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;

use super::SUBJECTS;
use super::message::{FeedMessage, FirstPing, Ping, decode, encode};
use crate::fleet::link::frames;
use crate::gateway::Gateway;

/// How long a follower is kept waiting while this node reads what it will pass on: less than a relay may
/// be silent.
const COPIES_LIMIT: Duration = Duration::from_secs(2);
/// How long a follower may take to say that it stays.
const FIRST_PING_LIMIT: Duration = Duration::from_secs(2);
/// Kinds of messages, for counters.
const PONG: &str = "feed_pong";
const WHOLE: &str = "feed_whole";
const CHANGES: &str = "feed_changes";

/// Serves a node that follows this one, for as long as this one watches the store itself. A relay
/// goes on while the store is lost, and tells so: that all its followers ask the store helps nobody.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let may_serve = || gateway.feed.is_relaying() && !gateway.cx.stop.is_stopping();
    // When many nodes start at once followers tend to come before their relay has read everything.
    let copies = gateway.until_relaying();
    if tokio::time::timeout(COPIES_LIMIT, copies).await.is_err() || !may_serve() {
        return;
    }
    let Ok(follower) = stream.peer_addr() else {
        return;
    };
    let (mut sink, mut pings) = frames(stream).split();
    // A follower that looks for a relay in touch with the store leaves behind this, and shouldn't have
    // been sent all the rest.
    let sent = |kind, bytes| gateway.fleet.count_sent(kind, follower, bytes);
    if send(&sent, PONG, &mut sink, encode(&gateway.pong(0)))
        .await
        .is_none()
    {
        return;
    }
    let Ok(Some(Ok(ping))) = tokio::time::timeout(FIRST_PING_LIMIT, pings.next()).await else {
        return;
    };
    // A follower of an older build tells nothing of what it has.
    let known = decode(&ping).map_or(Vec::new(), |first: FirstPing| first.known);
    let mut changes = gateway.feed.changes.subscribe();
    for subject in SUBJECTS {
        let whole = gateway.feed.whole_unless_known(subject, &known);
        if send(&sent, WHOLE, &mut sink, whole).await.is_none() {
            return;
        }
    }
    if send(&sent, PONG, &mut sink, gateway.answer(&ping))
        .await
        .is_none()
    {
        return;
    }
    loop {
        let (kind, message) = tokio::select! {
            // A pong tells that all changes before it were sent.
            biased;
            change = changes.recv() => match change {
                Ok(change) => (CHANGES, Some(change)),
                // The follower is too far behind, and begins anew.
                Err(RecvError::Lagged(_) | RecvError::Closed) => return,
            },
            ping = pings.next() => match ping {
                Some(Ok(ping)) => (PONG, gateway.answer(&ping)),
                // The follower left.
                Some(Err(_)) | None => return,
            },
        };
        if !may_serve() || send(&sent, kind, &mut sink, message).await.is_none() {
            return;
        }
    }
}

/// Sends a message, and tells `sent` so; `None` if it can't be sent, or there is none.
async fn send(
    sent: &impl Fn(&'static str, usize),
    kind: &'static str,
    sink: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    message: Option<Bytes>,
) -> Option<()> {
    let message = message?;
    sent(kind, message.len());
    sink.send(message).await.ok()
}

impl Gateway {
    /// Waits until this node has read all that it passes on, if it is a relay or may turn out to be one.
    async fn until_relaying(&self) {
        let may_relay = || !self.fleet.membership.is_known() || self.is_relay();
        while !self.feed.is_relaying() && !self.feed.is_fed() && may_relay() {
            tokio::select! {
                () = self.feed.copies_changed.notified() => {}
                () = self.fleet.membership.nodes_changed.notified() => {}
            }
        }
    }

    fn answer(&self, ping: &[u8]) -> Option<Bytes> {
        let ping: Ping = decode(ping)?;
        encode(&self.pong(ping.number))
    }

    fn pong(&self, ping: u64) -> FeedMessage {
        let mut contact = self.relay_contact();
        if let Some(lost_for) = self.feed.watches_lost_for() {
            contact.store = contact.store.map(|age| age.max(lost_for));
        }
        FeedMessage::Pong {
            ping,
            contact,
            configuration_age: self.cx.configuration_age(),
        }
    }
}
