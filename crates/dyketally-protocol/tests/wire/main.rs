//! Compares the encoding of each message between edges and homes with pinned bytes. During an upgrade, nodes of two
//! builds exchange messages, so that renaming a type or a field must not change the encoding.
//!
//! `messages.txt` holds one message per line: its label, then its bytes in hex. A changed line is a change of the
//! protocol and requires a new `PROTOCOL_VERSION`.

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
    std::fs::write(file, &written).expect("the current bytes are written to a file for comparison");
    assert_eq!(
        written, PINNED,
        "encoded messages differ from messages.txt; {file} holds the current bytes"
    );
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
        write!(line, " {byte:02x}").expect("writing to a string succeeds");
    }
    line.push('\n');
    line
}

fn pinned(label: &str) -> BytesMut {
    let hex = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(label)?.strip_prefix(": "));
    let bytes = hex
        .unwrap_or_else(|| panic!("messages.txt has no line for {label}"))
        .split(' ');
    bytes
        .map(|byte| u8::from_str_radix(byte, 16).expect("hex"))
        .collect()
}

fn decode<Message: Serialize + DeserializeOwned>(mut frame: BytesMut) -> Message {
    let mut codec = LinkCodec::<Message, Message>::default();
    let message = codec
        .decode(&mut frame)
        .expect("decodes")
        .expect("a whole frame");
    assert!(frame.is_empty(), "bytes are left after the message");
    message
}
