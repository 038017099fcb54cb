//! When a follower counts its relay as alive, and to which ping it assigns a reply.
//!
//! A relay sends a snapshot of a subject in one message and replies to pings only after it. On a slow link, or one
//! shared by many followers, that may take longer than the silence after which a follower gives up its relay. So
//! parts of a message have to count as data received, and late replies have to count from their own ping.

use std::time::Duration;

use bytes::Bytes;
use dyketally::time::Timestamp;
use dyketally_gateway::fleet::link::{Frames, frames};
use dyketally_gateway::store::feed::pings::{LastReceived, Pings};
use futures::{SinkExt, StreamExt};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A connection: the follower's end, and the relay's.
async fn connected() -> (Frames, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let follower = TcpStream::connect(address).await.expect("a connection");
    let (relay, _) = listener.accept().await.expect("a connection");
    (frames(follower), relay)
}

/// Waits up to 200 ms for a message, and returns its length; `None` if no complete message has arrived.
async fn next(frames: &mut Frames) -> Option<usize> {
    let message = tokio::time::timeout(Duration::from_millis(200), frames.next()).await;
    let message = message.ok()??;
    Some(message.expect("a message").len())
}

#[tokio::test]
async fn parts_of_a_message_count_as_data_received() {
    let (mut follower, mut relay) = connected().await;
    let began = Instant::now();
    let mut last_received = LastReceived::new(began);
    let length: u32 = 3_000;
    relay.write_all(&length.to_be_bytes()).await.expect("sent");
    for part in 0..3 {
        relay.write_all(&[part; 900]).await.expect("sent");
        assert_eq!(next(&mut follower).await, None);
        assert!(last_received.record_progress(&follower), "part {part}");
        assert!(
            !last_received.record_progress(&follower),
            "nothing new arrived"
        );
    }
    assert!(last_received.at > began);
    assert_eq!(next(&mut follower).await, None);
    assert!(
        !last_received.record_progress(&follower),
        "the relay is silent"
    );
    relay.write_all(&[3; 300]).await.expect("sent");
    assert_eq!(next(&mut follower).await, Some(length as usize));
}

#[tokio::test]
async fn a_complete_message_leaves_no_progress_on_the_next() {
    let (mut follower, relay) = connected().await;
    let mut relay = frames(relay);
    relay
        .send(Bytes::from_static(b"a message"))
        .await
        .expect("sent");
    assert_eq!(next(&mut follower).await, Some(9));
    let mut last_received = LastReceived::new(Instant::now());
    assert!(!last_received.record_progress(&follower));
}

/// The time `ms` milliseconds after the start of the clock.
fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// A reply that arrives after the next ping was sent counts from the time of its own ping.
#[test]
fn a_late_reply_counts_from_its_own_ping() {
    let mut pings = Pings::default();
    let first = pings.send(at(0));
    let second = pings.send(at(700));
    assert_eq!(pings.record_reply(first), Some(at(0)));
    let third = pings.send(at(1_400));
    assert_eq!(pings.record_reply(second), Some(at(700)));
    assert_eq!(pings.record_reply(third), Some(at(1_400)));
}

#[test]
fn a_reply_counts_once_and_not_behind_a_later_one() {
    let mut pings = Pings::default();
    let first = pings.send(at(0));
    let second = pings.send(at(700));
    assert_eq!(pings.record_reply(second), Some(at(700)));
    assert_eq!(pings.record_reply(second), None);
    assert_eq!(pings.record_reply(first), None);
    assert_eq!(pings.record_reply(0), None, "no ping has number 0");
    assert_eq!(pings.record_reply(9), None, "it was never sent");
}

#[test]
fn only_the_last_pings_are_remembered() {
    let mut pings = Pings::default();
    let sent: Vec<u64> = (0..100).map(|number| pings.send(at(number))).collect();
    assert_eq!(pings.record_reply(sent[0]), None);
    assert_eq!(pings.record_reply(sent[90]), Some(at(90)));
}
