//! The bytes of each message between edges and homes, pinned: nodes of two builds run beside each
//! other while one replaces the other, so a renamed type may change none of them.
//!
//! `messages.txt` holds one message a line: its label, then its bytes in hex. A line that changes
//! is a change of the protocol and needs a new `PROTOCOL_VERSION`.

mod edge;
mod home;

use std::fmt::Debug;
use std::fmt::Write;

use bytes::BytesMut;
use dyketally_protocol::{EdgeMessage, HomeMessage, LinkCodec};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::codec::{Decoder, Encoder};

const PINNED: &str = include_str!("messages.txt");

#[test]
fn messages_between_edges_and_homes_keep_their_bytes() {
    let written: String = edge::messages()
        .iter()
        .map(|(label, message)| line(label, message))
        .chain(
            home::messages()
                .iter()
                .map(|(label, message)| line(label, message)),
        )
        .collect();
    let file = concat!(env!("CARGO_TARGET_TMPDIR"), "/messages.txt");
    std::fs::write(file, &written).expect("written for a look at the difference");
    assert_eq!(written, PINNED, "the bytes as they are now are in {file}");
}

#[test]
fn pinned_bytes_are_read_as_the_messages_that_they_were() {
    for (label, message) in edge::messages() {
        assert_eq!(decode::<EdgeMessage>(pinned(&label)), message, "{label}");
    }
    for (label, message) in home::messages() {
        assert_eq!(decode::<HomeMessage>(pinned(&label)), message, "{label}");
    }
}

fn line<Message: Clone + Debug + Serialize>(label: &str, message: &Message) -> String {
    let mut frame = BytesMut::new();
    let mut codec = LinkCodec::<Message, Message>::default();
    codec.encode(message.clone(), &mut frame).expect("encodes");
    let mut line = format!("{label}:");
    for byte in frame {
        write!(line, " {byte:02x}").expect("a string takes all");
    }
    line.push('\n');
    line
}

fn pinned(label: &str) -> BytesMut {
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

fn decode<Message: Serialize + DeserializeOwned>(mut frame: BytesMut) -> Message {
    let mut codec = LinkCodec::<Message, Message>::default();
    let message = codec.decode(&mut frame).expect("decodes").expect("whole");
    assert!(frame.is_empty(), "bytes are left over");
    message
}
