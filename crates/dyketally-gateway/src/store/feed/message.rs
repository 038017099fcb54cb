//! What nodes send each other over a feed.

use bytes::Bytes;
use dyketally_store::key_value::{Entry, StoreRevision, WatchEvent};
use serde::{Deserialize, Serialize};

use super::Subject;

/// What a relay sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum FeedMessage {
    /// All keys of a subject, and the store's revision up to which nothing is missing: a deletion
    /// before it leaves no other trace.
    Whole {
        subject: Subject,
        complete_to: StoreRevision,
        entries: Vec<Entry>,
    },
    /// A key changed.
    Changed { subject: Subject, event: WatchEvent },
    /// Nothing changed.
    Alive,
}

/// Encodes a message; `None` if it can't be.
pub(super) fn encode(message: &FeedMessage) -> Option<Bytes> {
    postcard::to_stdvec(message).ok().map(Bytes::from)
}
