//! What nodes send each other over a feed, and how it is encoded. Nodes of other builds read it: variants and
//! fields keep their places.

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

/// Messages from this length on are compressed, in bytes: a configuration may have hundreds of
/// kilobytes, and a relay sends it to all of its followers. Not measured.
const COMPRESSED_FROM: usize = 1_024;
/// Longest message once it is expanded, in bytes; four times the longest value of a store.
const EXPANDED_AT_MOST: u64 = 4 << 20;

/// What a relay sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// All keys of a subject, and the store's revision up to which nothing is missing: a deletion
    /// before it leaves no other trace.
    Whole {
        /// The subject.
        subject: Subject,
        /// That revision.
        complete_to: StoreRevision,
        /// The keys.
        entries: Vec<Entry>,
    },
    /// A key changed.
    Changed {
        /// The key's subject.
        subject: Subject,
        /// The change.
        event: WatchEvent,
    },
    /// The reply to a ping, and the first message of a relay.
    Pong {
        /// The ping; zero in the first message.
        ping: u64,
        /// How lately the store and most nodes replied to the relay.
        contact: RelayContact,
        /// How long ago the relay's configuration was confirmed to be the newest one; `None` while it
        /// never was.
        configuration_age: Option<Duration>,
    },
    /// The follower has all keys of a subject as they are, by its digest.
    Unchanged {
        /// The subject.
        subject: Subject,
        /// The store's revision up to which nothing is missing.
        complete_to: StoreRevision,
    },
    /// A long value changed a little.
    Patched {
        /// The key's subject.
        subject: Subject,
        /// The change.
        patch: Patch,
    },
}

/// A change as the difference to the version of the key that the follower has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// When that version was put.
    pub from: StoreRevision,
    /// The new version, without its value.
    pub entry: Entry,
    /// How to make the new value out of the old one.
    pub delta: Delta,
}

/// What a follower sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Counts up from one.
    pub number: u64,
}

/// What a follower sends first: a ping, and what it has already.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstPing {
    /// The ping.
    pub ping: Ping,
    /// Digests of the follower's copies.
    pub known: Vec<(Subject, Digest)>,
}

/// Stands for the keys of a copy and the revisions at which they were put last. The hash may differ
/// between builds, and the copy is then sent as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// The digest of a copy.
    pub fn of<'a>(entries: impl Iterator<Item = &'a Entry>) -> Self {
        let mut hasher = DefaultHasher::new();
        for entry in entries {
            entry.key.hash(&mut hasher);
            entry.modified.hash(&mut hasher);
        }
        Self(hasher.finish())
    }
}

/// Encodes a message; `None` if it can't be.
pub fn encode(message: &impl Serialize) -> Option<Bytes> {
    let body = postcard::to_stdvec(message).ok()?;
    let compressed = body.len() >= COMPRESSED_FROM;
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

/// Decodes a message; `None` if it is none.
pub fn decode<T: DeserializeOwned>(encoded: &[u8]) -> Option<T> {
    let (compressed, body) = encoded.split_first()?;
    if *compressed == 0 {
        return postcard::from_bytes(body).ok();
    }
    let mut expanded = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(EXPANDED_AT_MOST);
    decoder.read_to_end(&mut expanded).ok()?;
    postcard::from_bytes(&expanded).ok()
}
