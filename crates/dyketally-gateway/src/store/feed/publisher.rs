//! The relay's side: sends copies and changes to one follower. Owns the connection; relies on the copies and
//! on this node's contact, which a pong reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::broadcast;

use super::Feed;
use super::message::{FeedMessage, FirstPing, Ping, decode, encode};
use super::subject::SUBJECTS;
use crate::fleet::link::{Frames, frames};

/// How long a follower is kept waiting while this node reads what it will pass on: less than a relay may
/// be silent. Not measured.
const COPIES_LIMIT: Duration = Duration::from_secs(2);
/// How long a follower may take to say that it stays. Not measured.
const FIRST_PING_LIMIT: Duration = Duration::from_secs(2);
/// Kinds of messages, for counters.
const PONG: &str = "feed_pong";
const WHOLE: &str = "feed_whole";
const CHANGES: &str = "feed_changes";

/// Serves a node that follows this one, for as long as this one watches the store itself. A relay goes
/// on while the store is lost, and says so in its pongs: that all its followers ask the store helps
/// nobody.
pub async fn serve(feed: Rc<Feed>, stream: TcpStream) {
    // When many nodes start at once followers tend to come before their relay has read everything.
    let copies = tokio::time::timeout(COPIES_LIMIT, feed.until_publishing());
    if copies.await.is_err() || !feed.may_publish() {
        return;
    }
    if let Ok(follower) = stream.peer_addr() {
        // The follower left, is too far behind, or is to follow another relay: it opens a new connection.
        let publisher = Publisher {
            feed,
            follower,
            frames: frames(stream),
        };
        let _ = publisher.run().await;
    }
}

/// A connection that a follower opened.
struct Publisher {
    feed: Rc<Feed>,
    follower: SocketAddr,
    frames: Frames,
}

impl Publisher {
    /// Sends copies, then changes and replies to pings. `None` when the connection can't be used further.
    async fn run(mut self) -> Option<()> {
        // A follower that looks for a relay with contact to the store leaves after this, and shouldn't have
        // been sent all the rest.
        let pong = encode(&self.feed.pong(0));
        self.send(PONG, pong).await?;
        let ping = self.first_ping().await?;
        // A follower of an older build doesn't send what it has.
        let known = decode(&ping).map_or(Vec::new(), |first: FirstPing| first.known);
        let changes = self.feed.copies.subscribe();
        for subject in SUBJECTS {
            let whole = self.feed.copies.whole_unless_known(subject, &known);
            self.send(WHOLE, whole).await?;
        }
        let pong = self.feed.reply_to(&ping);
        self.send(PONG, pong).await?;
        self.send_changes(changes).await
    }

    async fn first_ping(&mut self) -> Option<BytesMut> {
        let ping = tokio::time::timeout(FIRST_PING_LIMIT, self.frames.next());
        ping.await.ok()??.ok()
    }

    async fn send_changes(&mut self, mut changes: broadcast::Receiver<Bytes>) -> Option<()> {
        loop {
            let (kind, message) = tokio::select! {
                // A pong says that all changes before it were sent.
                biased;
                // A follower that is too far behind begins anew.
                change = changes.recv() => (CHANGES, Some(change.ok()?)),
                ping = self.frames.next() => (PONG, self.feed.reply_to(&ping?.ok()?)),
            };
            if !self.feed.may_publish() {
                return None;
            }
            self.send(kind, message).await?;
        }
    }

    /// Sends a message; `None` if it can't be sent, or there is none.
    async fn send(&mut self, kind: &'static str, message: Option<Bytes>) -> Option<()> {
        let message = message?;
        self.feed
            .fleet
            .count_sent(kind, self.follower, message.len());
        self.frames.send(message).await.ok()
    }
}

impl Feed {
    fn may_publish(&self) -> bool {
        self.is_publishing() && !self.cx.stop.is_stopping()
    }

    /// Waits until this node has read all that it passes on, if it is a relay or may turn out to be one.
    async fn until_publishing(&self) {
        let may_relay = || !self.fleet.membership.is_known() || self.is_relay();
        while !self.is_publishing() && !self.has_relay() && may_relay() {
            tokio::select! {
                () = self.copies.subject_read.notified() => {}
                () = self.fleet.membership.nodes_changed.notified() => {}
            }
        }
    }

    fn reply_to(&self, ping: &[u8]) -> Option<Bytes> {
        let ping: Ping = decode(ping)?;
        encode(&self.pong(ping.number))
    }

    fn pong(&self, ping: u64) -> FeedMessage {
        let mut contact = self.relay_contact();
        if let Some(lost_for) = self.watches_lost_for() {
            contact.store = contact.store.map(|age| age.max(lost_for));
        }
        FeedMessage::Pong {
            ping,
            contact,
            configuration_age: self.cx.configuration_age(),
        }
    }
}
