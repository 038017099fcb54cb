//! Compares encoded messages with stored bytes. A fixture has one line for each message, `label: bytes`, with
//! the bytes in hexadecimal.

use std::collections::BTreeSet;
use std::fmt::{Debug, Write};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The label of a fixture's line and the message that it stands for.
pub type Sample<T> = (&'static str, T);

/// One line of a fixture.
struct Line {
    label: String,
    bytes: Vec<u8>,
}

fn hexadecimal(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, " {byte:02x}").expect("text grows");
    }
    text
}

fn read(fixture: &str) -> Vec<Line> {
    let lines = fixture.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let (label, bytes) = line.split_once(':').expect("a label and bytes");
            let bytes = bytes.split_whitespace();
            let bytes = bytes.map(|byte| u8::from_str_radix(byte, 16).expect("a byte"));
            Line {
                label: label.to_owned(),
                bytes: bytes.collect(),
            }
        })
        .collect()
}

/// Checks that the lines of `fixture` equal `encoded`, in the same order.
pub fn check_bytes(fixture: &str, encoded: &[(&str, Vec<u8>)]) {
    let line = |label: &str, bytes: &[u8]| format!("{label}:{}\n", hexadecimal(bytes));
    let pinned: String = read(fixture)
        .iter()
        .map(|it| line(&it.label, &it.bytes))
        .collect();
    let actual: String = encoded
        .iter()
        .map(|(label, bytes)| line(label, bytes))
        .collect();
    assert!(pinned == actual, "pinned:\n{pinned}\nactual:\n{actual}");
}

/// Checks that each message is encoded as the bytes in `fixture`, and that these bytes are decoded as the same
/// message.
pub fn check<T>(fixture: &str, samples: &[Sample<T>])
where
    T: Serialize + DeserializeOwned + Debug,
{
    let encode = |message: &T| postcard::to_stdvec(message).expect("a message");
    let encoded: Vec<(&str, Vec<u8>)> = samples
        .iter()
        .map(|(label, message)| (*label, encode(message)))
        .collect();
    check_bytes(fixture, &encoded);
    for (line, (label, message)) in read(fixture).iter().zip(samples) {
        let decoded: T = postcard::from_bytes(&line.bytes).expect(label);
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"), "{label}");
        assert_eq!(encode(&decoded), line.bytes, "{label}");
    }
}

/// Checks that `used` has each of `all` variants.
pub fn check_complete<'a>(all: &[&'a str], used: impl IntoIterator<Item = &'a str>) {
    let used: BTreeSet<&str> = used.into_iter().collect();
    let all: BTreeSet<&str> = all.iter().copied().collect();
    assert_eq!(used, all, "each variant needs a line of its own");
}

/// Names the variants of an enumeration: a variant that is missing here doesn't compile, and one
/// without a sample fails [`check_complete`].
macro_rules! variants {
    ($module:ident, $enumeration:ty, $($pattern:pat => $name:literal,)+) => {
        mod $module {
            use super::*;

            pub const ALL: &[&str] = &[$($name),+];

            pub fn name(value: &$enumeration) -> &'static str {
                match value {
                    $($pattern => $name,)+
                }
            }
        }
    };
}

pub(crate) use variants;
