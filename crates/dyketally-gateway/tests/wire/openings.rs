//! Pins the bytes of openings, the first messages on connections between nodes.

use dyketally_gateway::fleet::opening::{self, Opening};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::pin::{Sample, check, check_bytes, check_complete, variants};

const BODIES: &str = include_str!("openings.txt");
const SENT: &str = include_str!("openings_sent.txt");

variants! {
    openings, Opening,
    Opening::Forward { .. } => "relay",
    Opening::Calls => "calls",
    Opening::Feed => "feed",
}

fn samples() -> Vec<Sample<Opening>> {
    vec![
        (
            "relay",
            Opening::Forward {
                database: "ledger-1-b".into(),
            },
        ),
        ("calls", Opening::Calls),
        ("feed", Opening::Feed),
    ]
}

#[test]
fn openings_keep_their_bytes() {
    check(BODIES, &samples());
}

#[test]
fn each_opening_is_pinned() {
    let samples = samples();
    let names = samples.iter().map(|(_, opening)| openings::name(opening));
    check_complete(openings::ALL, names);
}

/// All bytes that a node sends on a connection that it opens with `opening`.
async fn sent(opening: &Opening) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let opened = opening::open(address, opening).await.expect("a connection");
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    drop(opened);
    let mut bytes = Vec::new();
    accepted.read_to_end(&mut bytes).await.expect("the opening");
    bytes
}

#[tokio::test]
async fn openings_are_sent_with_their_length_in_front() {
    let mut encoded = Vec::new();
    for (label, opening) in samples() {
        encoded.push((label, sent(&opening).await));
    }
    check_bytes(SENT, &encoded);
}
