//! What a follower concludes from the messages of its relay, and from parts of them.
//!
//! A relay sends a copy of everything in one message, and replies to pings behind it. Over a thin link,
//! or one that many followers share, that may take longer than a relay may be silent.

use std::time::Duration;

use bytes::Bytes;
use dyketally::time::Timestamp;
use dyketally_gateway::fleet::link::{Frames, frames};
use dyketally_gateway::store::feed::pings::{Heard, Pings};
use futures::{SinkExt, StreamExt};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A follower's end, and the relay's.
async fn connected() -> (Frames, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let near = TcpStream::connect(address).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("a connection");
    (frames(near), far)
}

/// Lets what was sent arrive; `None` while no message is whole.
async fn next(frames: &mut Frames) -> Option<usize> {
    let message = tokio::time::timeout(Duration::from_millis(200), frames.next()).await;
    let message = message.ok()??;
    Some(message.expect("a message").len())
}

#[tokio::test]
async fn a_relay_is_heard_by_parts_of_a_message() {
    let (mut near, mut far) = connected().await;
    let began = Instant::now();
    let mut heard = Heard::new(began);
    let length: u32 = 3_000;
    far.write_all(&length.to_be_bytes()).await.expect("sent");
    for part in 0..3 {
        far.write_all(&[part; 900]).await.expect("sent");
        assert_eq!(next(&mut near).await, None);
        assert!(heard.more_than_before(&near), "part {part}");
        assert!(!heard.more_than_before(&near), "nothing new arrived");
    }
    assert!(heard.at > began);
    assert_eq!(next(&mut near).await, None);
    assert!(!heard.more_than_before(&near), "the relay is silent");
    far.write_all(&[3; 300]).await.expect("sent");
    assert_eq!(next(&mut near).await, Some(length as usize));
}

#[tokio::test]
async fn a_relay_that_sent_a_whole_message_may_be_silent_next() {
    let (mut near, far) = connected().await;
    let mut far = frames(far);
    far.send(Bytes::from_static(b"a message"))
        .await
        .expect("sent");
    assert_eq!(next(&mut near).await, Some(9));
    let mut heard = Heard::new(Instant::now());
    assert!(!heard.more_than_before(&near));
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// Replies that come later than the next ping count from when theirs was sent.
#[test]
fn a_late_reply_counts_from_its_own_ping() {
    let mut pings = Pings::default();
    let first = pings.send(at(0));
    let second = pings.send(at(700));
    assert_eq!(pings.answered(first), Some(at(0)));
    let third = pings.send(at(1_400));
    assert_eq!(pings.answered(second), Some(at(700)));
    assert_eq!(pings.answered(third), Some(at(1_400)));
}

#[test]
fn a_reply_counts_once_and_not_behind_a_later_one() {
    let mut pings = Pings::default();
    let first = pings.send(at(0));
    let second = pings.send(at(700));
    assert_eq!(pings.answered(second), Some(at(700)));
    assert_eq!(pings.answered(second), None);
    assert_eq!(pings.answered(first), None);
    assert_eq!(pings.answered(0), None, "no ping has number 0");
    assert_eq!(pings.answered(9), None, "it was never sent");
}

#[test]
fn only_the_last_pings_are_remembered() {
    let mut pings = Pings::default();
    let sent: Vec<u64> = (0..100).map(|number| pings.send(at(number))).collect();
    assert_eq!(pings.answered(sent[0]), None);
    assert_eq!(pings.answered(sent[90]), Some(at(90)));
}
