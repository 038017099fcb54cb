//! The relay's side of a feed: sends snapshots and changes to one follower. Owns the connection; relies on the
//! copies and on this node's contact, which each pong reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;

use super::Feed;
use super::change_log::Follower;
use super::message::{FeedMessage, FirstPing, Ping, decode, encode};
use super::subject::SUBJECTS;
use crate::fleet::link::{Frames, frames};

/// How long a new follower waits while this node still reads the subjects from the store. Shorter than the silence
/// after which a follower gives up its relay.
const READ_WAIT: Duration = Duration::from_secs(2);
/// How long a follower may take to send its first ping, by which it says that it stays.
const FIRST_PING_TIMEOUT: Duration = Duration::from_secs(2);
// Kinds of messages in the counters of sent bytes.
const PONG: &str = "feed_pong";
const SNAPSHOT: &str = "feed_whole";
const CHANGES: &str = "feed_changes";

/// Sends a follower snapshots and changes for as long as this node follows no relay itself. A relay that has lost
/// the store continues and reports the loss in its pongs: it wouldn't help if all its followers called the failing
/// store instead.
pub async fn serve(feed: Rc<Feed>, stream: TcpStream) {
    feed.want_nodes();
    // When many nodes start together, followers tend to connect before their relay has read all subjects.
    let ready = tokio::time::timeout(READ_WAIT, feed.until_publishing());
    if ready.await.is_err() || !feed.may_publish() {
        return;
    }
    if let Ok(follower) = stream.peer_addr() {
        // The connection ends if the follower leaves or lags too far behind, or if this node stops being a relay.
        let publisher = Publisher {
            feed,
            follower,
            frames: frames(stream),
        };
        let _ = publisher.run().await;
    }
}

/// A connection opened by a follower.
struct Publisher {
    feed: Rc<Feed>,
    follower: SocketAddr,
    frames: Frames,
}

impl Publisher {
    /// Sends snapshots, then changes and replies to pings; returns `None` when the connection has to be closed.
    async fn run(mut self) -> Option<()> {
        // The first pong reports this node's contact. A follower that needs a relay with contact to the store may
        // leave on it, before any snapshot is sent.
        let pong = encode(&self.feed.pong(0));
        self.send(PONG, pong).await?;
        let ping = self.first_ping().await?;
        // A follower of an older build sends no digests, so it gets snapshots of all subjects.
        let known = decode(&ping).map_or(Vec::new(), |first: FirstPing| first.known);
        let changes = self.feed.copies.follow();
        for subject in SUBJECTS {
            let snapshot = self.feed.copies.snapshot_unless_known(subject, &known);
            self.send(SNAPSHOT, snapshot).await?;
        }
        let pong = self.feed.reply_to(&ping);
        self.send(PONG, pong).await?;
        self.send_changes(changes).await
    }

    async fn first_ping(&mut self) -> Option<BytesMut> {
        let ping = tokio::time::timeout(FIRST_PING_TIMEOUT, self.frames.next());
        ping.await.ok()??.ok()
    }

    async fn send_changes(&mut self, mut changes: Follower) -> Option<()> {
        loop {
            tokio::select! {
                // A pong tells the follower that all earlier changes were sent, so changes go first.
                biased;
                () = changes.is_behind() => {
                    // A follower that is too far behind reconnects and gets everything again.
                    let messages = changes.take(&self.feed.copies.changes).ok()?;
                    self.send_all(messages).await?;
                }
                ping = self.frames.next() => {
                    let pong = self.feed.reply_to(&ping?.ok()?);
                    self.send(PONG, pong).await?;
                }
            };
            if !self.feed.may_publish() {
                return None;
            }
        }
    }

    /// Sends changes that arrived together in as few packets as possible.
    async fn send_all(&mut self, messages: Vec<Bytes>) -> Option<()> {
        let bytes = messages.iter().map(Bytes::len).sum();
        let fleet = &self.feed.fleet;
        fleet.count_sent(CHANGES, self.follower, bytes);
        for message in messages {
            self.frames.feed(message).await.ok()?;
        }
        SinkExt::<Bytes>::flush(&mut self.frames).await.ok()
    }

    /// Sends a message and counts its bytes; `None` if `message` is `None` or can't be sent.
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

    /// Waits until this node may have followers, as long as it is a relay or may turn out to be one.
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
