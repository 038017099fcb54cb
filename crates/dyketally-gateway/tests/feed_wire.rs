//! The encoding of the messages between a relay and its followers.
//!
//! Nodes of two builds run side by side while a release rolls out, so the order of variants and fields must not
//! change: `postcard` numbers variants and writes fields in order, without names. Each fixture is decoded, too, as if
//! a node of an older build had sent it.

use std::fmt::Debug;
use std::io::Read;
use std::time::Duration;

use bytes::Bytes;
use dyketally::delta::Delta;
use dyketally::failover::{ActiveFence, FenceId};
use dyketally::identifiers::DatabaseName;
use dyketally_gateway::fleet::link::frames;
use dyketally_gateway::store::feed::Subject;
use dyketally_gateway::store::feed::message::{
    Digest, FeedMessage, FirstPing, Patch, Ping, RelayContact, decode, encode,
};
use dyketally_store::key_value::{Entry, Key, LeaseId, StoreRevision, WatchEvent};
use flate2::read::DeflateDecoder;
use futures::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Decodes hexadecimal digits; white space is ignored.
fn bytes(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hex"))
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that `message` is encoded as `fixture`, and that `fixture` is decoded as `message`.
#[track_caller]
fn pin<T: Serialize + DeserializeOwned + PartialEq + Debug>(message: &T, fixture: &str) {
    let expected = bytes(fixture);
    let encoded = encode(message).expect("a message can be encoded");
    assert_eq!(
        hex(&encoded),
        hex(&expected),
        "{message:?} is not encoded as its fixture"
    );
    assert_eq!(decode(&expected).as_ref(), Some(message), "{fixture}");
}

fn entry(key: &str, value: &'static [u8], lease: Option<LeaseId>) -> Entry {
    Entry {
        key: Key::from(key),
        value: Bytes::from_static(value),
        created: StoreRevision(7),
        modified: StoreRevision(300),
        lease,
    }
}

fn feed_messages() -> Vec<(FeedMessage, &'static str)> {
    vec![
        (
            FeedMessage::Snapshot {
                subject: Subject::Configuration,
                complete_to: StoreRevision(301),
                entries: vec![entry("a/b", b"{}", None), entry("c", b"", Some(LeaseId(5)))],
            },
            // uncompressed; variant 0; subject 0; revision 301; two entries
            "00 00 00 ad02 02
             03 612f62 02 7b7d 07 ac02 00
             01 63 00 07 ac02 01 0a",
        ),
        (
            FeedMessage::Changed {
                subject: Subject::Announcements,
                event: WatchEvent::Put(entry("k", b"v", Some(LeaseId(-1)))),
            },
            // variant 1; subject 1; event 0
            "00 01 01 00 01 6b 01 76 07 ac02 01 01",
        ),
        (
            FeedMessage::Changed {
                subject: Subject::Nodes,
                event: WatchEvent::Deleted {
                    key: Key::from("k"),
                    store_revision: StoreRevision(128),
                },
            },
            // variant 1; subject 2; event 1
            "00 01 02 01 01 6b 8001",
        ),
        (
            FeedMessage::Pong {
                ping: 0,
                contact: RelayContact::default(),
                configuration_age: None,
            },
            // variant 2; ping 0; no contact with store or majority; no fences; configuration never confirmed
            "00 02 00 00 00 00 00",
        ),
        (
            FeedMessage::Pong {
                ping: 9,
                contact: RelayContact {
                    store: Some(Duration::from_millis(1_500)),
                    majority: Some(Duration::from_nanos(5)),
                    fenced: vec![ActiveFence {
                        database: DatabaseName::from("db"),
                        id: FenceId(130),
                        age: Duration::from_secs(2),
                    }],
                },
                configuration_age: Some(Duration::from_secs(3)),
            },
            // variant 2; ping 9; each duration as whole seconds, then nanoseconds
            "00 02 09
             01 01 80cab5ee01
             01 00 05
             01 02 6462 8201 02 00
             01 03 00",
        ),
        (
            FeedMessage::Unchanged {
                subject: Subject::Nodes,
                complete_to: StoreRevision(2),
            },
            // variant 3; subject 2; revision 2
            "00 03 02 02",
        ),
        (
            FeedMessage::Patched {
                subject: Subject::Configuration,
                patch: Patch {
                    from: StoreRevision(6),
                    entry: entry("k", b"", None),
                    delta: Delta::between(b"{a}{b}", b"{a}{c}").expect("short documents"),
                },
            },
            // variant 4; subject 0; from revision 6; the entry; a delta of two parts: bytes 0..3 kept, `{c}` new
            "00 04 00 06
             01 6b 00 07 ac02 00
             02 00 00 03 01 03 7b637d",
        ),
    ]
}

/// The number of a message's variant. The match has no wildcard, so a new variant fails to compile until it is added
/// here; the test then requires a fixture for it.
fn variant(message: &FeedMessage) -> usize {
    match message {
        FeedMessage::Snapshot { .. } => 0,
        FeedMessage::Changed { .. } => 1,
        FeedMessage::Pong { .. } => 2,
        FeedMessage::Unchanged { .. } => 3,
        FeedMessage::Patched { .. } => 4,
    }
}

#[test]
fn a_relay_sends_each_message_in_these_bytes() {
    let mut seen = [false; 5];
    for (message, fixture) in feed_messages() {
        pin(&message, fixture);
        seen[variant(&message)] = true;
        let expected = u8::try_from(variant(&message)).expect("few variants");
        assert_eq!(bytes(fixture)[1], expected, "{message:?}");
    }
    assert_eq!(seen, [true; 5], "some variant has no fixture");
}

#[test]
fn a_follower_sends_pings_in_these_bytes() {
    pin(&Ping { number: 1 }, "00 01");
    pin(&Ping { number: 300 }, "00 ac02");
    let nothing_known = FirstPing {
        ping: Ping { number: 1 },
        known: Vec::new(),
    };
    pin(&nothing_known, "00 01 00");
    let first = FirstPing {
        ping: Ping { number: 1 },
        known: vec![
            (Subject::Configuration, Digest(5)),
            (Subject::Nodes, Digest(u64::MAX)),
        ],
    };
    pin(&first, "00 01 02 00 05 02 ffffffffffffffffff01");
}

/// A relay of an older build decodes a first ping as a plain one. A relay of this build may get a plain ping where it
/// expects a first one; this must fail to decode as a first ping.
#[test]
fn a_first_ping_is_read_as_a_ping_but_not_the_other_way_round() {
    let first = bytes("00 01 01 00 05");
    assert_eq!(decode(&first), Some(Ping { number: 1 }));
    assert_eq!(decode::<FirstPing>(&bytes("00 01")), None);
}

#[test]
fn each_subject_has_its_number() {
    let number = |subject: Subject| match subject {
        Subject::Configuration => "00",
        Subject::Announcements => "01",
        Subject::Nodes => "02",
    };
    for subject in [
        Subject::Configuration,
        Subject::Announcements,
        Subject::Nodes,
    ] {
        pin(&subject, &format!("00 {}", number(subject)));
    }
}

/// A change of one key whose value is the letter `a`, repeated `length` times.
fn long_message(length: usize) -> FeedMessage {
    FeedMessage::Changed {
        subject: Subject::Configuration,
        event: WatchEvent::Put(Entry {
            value: Bytes::from(vec![b'a'; length]),
            ..entry("k", b"", None)
        }),
    }
}

/// The first byte is 0 for a plain message and 1 for a compressed one. Messages are compressed from a plain length of
/// 1,024 bytes on. Here that length is 11 bytes more than the value's, if the value has more than 127 bytes.
#[test]
fn a_message_of_1024_bytes_is_compressed() {
    let plain = encode(&long_message(1_012)).expect("encoded");
    assert_eq!(plain.len(), 1 + 1_023);
    assert_eq!(hex(&plain[..8]), "0001000001 6bf407".replace(' ', ""));
    let compressed = encode(&long_message(1_013)).expect("encoded");
    assert_eq!(compressed[0], 1);
    let mut expanded = Vec::new();
    DeflateDecoder::new(&compressed[1..])
        .read_to_end(&mut expanded)
        .expect("a deflate stream without a header");
    assert_eq!(expanded.len(), 1_024);
    assert_eq!(hex(&expanded[..7]), "0100 0001 6b f507".replace(' ', ""));
    assert_eq!(decode(&compressed), Some(long_message(1_013)));
}

/// The fixture is zlib's raw deflate stream of the same plain message.
#[test]
fn a_compressed_message_of_another_program_is_read() {
    let compressed = bytes("01 63646060ccfeca9e380a46c1281859807d0d130300");
    assert_eq!(decode(&compressed), Some(long_message(1_013)));
}

#[test]
fn invalid_messages_are_rejected() {
    let none: Option<FeedMessage> = None;
    assert_eq!(decode(b""), none);
    assert_eq!(decode(&bytes("00")), none);
    assert_eq!(decode(&bytes("00 05 00")), none, "no such variant");
    assert_eq!(decode(&bytes("01 ff")), none, "no deflate stream");
}

/// A frame is the message's length as four bytes in big-endian order, then the message.
#[tokio::test]
async fn a_frame_is_its_length_and_the_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let near = TcpStream::connect(address).await.expect("a connection");
    let (mut far, _) = listener.accept().await.expect("a connection");
    let mut near = frames(near);
    let message = encode(&Ping { number: 300 }).expect("encoded");
    near.send(message.clone()).await.expect("sent");
    let mut received = [0; 7];
    far.read_exact(&mut received).await.expect("received");
    assert_eq!(hex(&received), "00000003 00ac02".replace(' ', ""));
    let mut far = frames(far);
    near.send(message.clone()).await.expect("sent");
    let read = far.next().await.expect("a frame").expect("a frame");
    assert_eq!(read.freeze(), message);
}
