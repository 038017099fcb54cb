//! The bytes of each datagram of membership, pinned: nodes of two builds run beside each other
//! while one replaces the other, so a renamed type may change none of them.
//!
//! `datagrams.txt` holds one datagram a line: its label, then its bytes in hex. A line that changes
//! is a change of the protocol and needs a new `WIRE_VERSION`.

use std::fmt::Write;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::{
    Addresses, Body, Header, Incarnation, Message, Record, RegionContact, Update, decode, encode,
};
use dyketally::policy::Revision;

const PINNED: &str = include_str!("datagrams.txt");

/// Digests in a sync request.
const BUCKETS: u32 = 64;

#[test]
fn datagrams_keep_their_bytes() {
    let written: String = messages().iter().map(line).collect();
    let file = concat!(env!("CARGO_TARGET_TMPDIR"), "/datagrams.txt");
    std::fs::write(file, &written).expect("the datagrams are written for comparison");
    assert_eq!(written, PINNED, "the bytes as they are now are in {file}");
}

#[test]
fn pinned_bytes_decode_to_the_same_datagrams() {
    for (label, message) in messages() {
        let read = decode(&pinned(&label)).expect("decodes");
        assert_eq!(read, message, "{label}");
    }
}

fn line((label, message): &(String, Message)) -> String {
    let mut line = format!("{label}:");
    for byte in encode(message).expect("encodes") {
        write!(line, " {byte:02x}").expect("a string takes all");
    }
    line.push('\n');
    line
}

fn pinned(label: &str) -> Vec<u8> {
    let hex = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(label)?.strip_prefix(": "));
    let bytes = hex
        .unwrap_or_else(|| panic!("{label} is pinned"))
        .split(' ');
    bytes
        .map(|byte| u8::from_str_radix(byte, 16).expect("hex"))
        .collect()
}

fn messages() -> Vec<(String, Message)> {
    let bodies = bodies().into_iter().map(|(label, body)| {
        let message = Message {
            header: header(Vec::new()),
            body,
            updates: Vec::new(),
        };
        (label.to_owned(), message)
    });
    let updates = updates().into_iter().map(|(label, update)| {
        let message = Message {
            header: header(Vec::new()),
            body: Body::Ack { sequence: 300 },
            updates: vec![update],
        };
        (format!("Ack with {label}"), message)
    });
    let regions = vec![RegionContact {
        region: "north".into(),
        age_millis: 1_500,
    }];
    let message = Message {
        header: header(regions),
        body: Body::Ping { sequence: 300 },
        updates: Vec::new(),
    };
    let with_regions = ("Ping with regions".to_owned(), message);
    bodies.chain(updates).chain([with_regions]).collect()
}

fn header(regions: Vec<RegionContact>) -> Header {
    Header {
        sender: "node-a".into(),
        incarnation: incarnation(),
        leaving: false,
        revision: Revision(129),
        digest: 0x0102_0304_0506_0708,
        regions,
    }
}

fn incarnation() -> Incarnation {
    Incarnation {
        started: 1_700_000_000_000,
        renewed: 2,
    }
}

fn bodies() -> Vec<(&'static str, Body)> {
    let sequence = 300;
    let to = |address: &str| Body::IndirectPing {
        sequence,
        target: "node-b".into(),
        address: address.parse().expect("an address"),
    };
    let buckets = (0..BUCKETS).collect();
    vec![
        ("Ping", Body::Ping { sequence }),
        ("Ack", Body::Ack { sequence }),
        ("IndirectPing", to("10.0.0.2:7946")),
        ("IndirectPing to IPv6", to("[fd00::2]:7946")),
        ("IndirectAck", Body::IndirectAck { sequence }),
        ("SyncRequest", Body::SyncRequest { buckets }),
        ("SyncPage, more", Body::SyncPage { more: true }),
        ("SyncPage, last", Body::SyncPage { more: false }),
    ]
}

fn updates() -> Vec<(&'static str, Update)> {
    let node = || NodeName::new("node-b");
    let incarnation = incarnation();
    vec![
        ("Alive", Update::Alive(record())),
        (
            "Renewed",
            Update::Renewed {
                node: node(),
                incarnation,
                leaving: true,
            },
        ),
        (
            "Suspected",
            Update::Suspected {
                node: node(),
                incarnation,
                by: "node-c".into(),
            },
        ),
        (
            "Died",
            Update::Died {
                node: node(),
                incarnation,
            },
        ),
        (
            "Left",
            Update::Left {
                node: node(),
                incarnation,
            },
        ),
    ]
}

fn record() -> Record {
    let address = |port| ([10, 0, 0, 2], port).into();
    Record {
        node: "node-b".into(),
        incarnation: incarnation(),
        locality: Locality {
            region: "north".into(),
            zone: "north-1".into(),
        },
        addresses: Addresses {
            membership: address(7946),
            peers: address(7947),
            admin: address(7948),
        },
        weight: 100,
        leaving: true,
    }
}
