//! The messages between a relay and its followers, and their encoding. Nodes of other builds read them, and
//! postcard identifies variants and fields by position: their order must not change.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use dyketally::delta::Delta;
use dyketally_store::key_value::{Entry, StoreRevision, WatchEvent};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::subject::Subject;

pub use crate::context::contact::RelayContact;

/// Length in bytes from which on a message is compressed: a configuration may have hundreds of kilobytes, and a
/// relay sends it to all of its followers.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// Maximum length of a decompressed message in bytes; four times the longest value of a store.
const MAX_EXPANDED_BYTES: u64 = 4 << 20;

/// A message from a relay to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// All keys of a subject. A key that was deleted is only missing from `entries`, so `complete_to` says up to
    /// which store revision changes, deletions included, are contained.
    Snapshot {
        /// The subject.
        subject: Subject,
        /// The store revision up to which the entries are complete.
        complete_to: StoreRevision,
        /// All keys of the subject with their values.
        entries: Vec<Entry>,
    },
    /// A key changed.
    Changed {
        /// The key's subject.
        subject: Subject,
        /// The new entry, or the deletion.
        event: WatchEvent,
    },
    /// The reply to a ping; also the first message that a relay sends on a connection.
    Pong {
        /// The number of the ping; zero in the relay's first message.
        ping: u64,
        /// How long ago the store and a majority of the nodes last replied to the relay.
        contact: RelayContact,
        /// How long ago the relay's configuration was last confirmed to be the newest one; `None` if it never was.
        configuration_age: Option<Duration>,
    },
    /// The follower's copy of a subject is current: the digest that it reported equals the relay's.
    Unchanged {
        /// The subject.
        subject: Subject,
        /// The store revision up to which the copy is complete.
        complete_to: StoreRevision,
    },
    /// A long value changed; only the difference is sent.
    Patched {
        /// The key's subject.
        subject: Subject,
        /// The difference to the previous version.
        patch: Patch,
    },
}

/// A change of a key, as the difference to the version that the follower has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The store revision at which the follower's version was written.
    pub from: StoreRevision,
    /// The new entry, with an empty value.
    pub entry: Entry,
    /// The difference between the old value and the new one.
    pub delta: Delta,
}

/// A message from a follower to its relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The number of the ping on this connection, starting at one.
    pub number: u64,
}

/// The first message from a follower: a ping, and the digests of the copies that it already has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstPing {
    /// The ping, with number one.
    pub ping: Ping,
    /// Digests of the follower's copies.
    pub known: Vec<(Subject, Digest)>,
}

/// A hash of the keys of a copy and the revisions at which they were last written. The hash function may differ
/// between builds; the digests then differ and the subject is sent as a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// The digest of a copy with these entries, in the order of their keys.
    pub fn of<'a>(entries: impl Iterator<Item = &'a Entry>) -> Self {
        let mut hasher = DefaultHasher::new();
        for entry in entries {
            entry.key.hash(&mut hasher);
            entry.modified.hash(&mut hasher);
        }
        Self(hasher.finish())
    }
}

/// Encodes a message, compressed if it is long; `None` if it can't be encoded.
pub fn encode(message: &impl Serialize) -> Option<Bytes> {
    let body = postcard::to_stdvec(message).ok()?;
    let compressed = body.len() >= MIN_COMPRESSED_BYTES;
    let mut encoded = vec![u8::from(compressed)];
    if compressed {
        let mut encoder = DeflateEncoder::new(encoded, Compression::fast());
        encoder.write_all(&body).ok()?;
        encoded = encoder.finish().ok()?;
    } else {
        encoded.extend(body);
    }
    Some(Bytes::from(encoded))
}

/// Decodes a message; `None` if the bytes are no valid message of type `T`.
pub fn decode<T: DeserializeOwned>(encoded: &[u8]) -> Option<T> {
    let (compressed, body) = encoded.split_first()?;
    if *compressed == 0 {
        return postcard::from_bytes(body).ok();
    }
    let mut expanded = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(MAX_EXPANDED_BYTES);
    decoder.read_to_end(&mut expanded).ok()?;
    postcard::from_bytes(&expanded).ok()
}
