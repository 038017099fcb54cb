//! What nodes ask of each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::change::{Change, Document};
use crate::policy::Revision;
use crate::template::DocumentKind;

/// Names one document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentKey {
    /// The kind.
    pub kind: DocumentKind,
    /// The name.
    pub name: String,
}

/// Names the part of a snapshot that begins behind a document, in the order of kind and name.
/// Tells the same place to every node at that revision, however large its parts are, so that a
/// node may take the parts from several peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartOfSnapshot {
    /// The snapshot's revision.
    pub revision: Revision,
    /// The last document of the part before; `None` for the first part.
    pub after: Option<DocumentKey>,
}

/// Asks a peer for what is missing. Sent again, to any peer, when no reply comes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The revision in force at the asking node.
    pub have: Revision,
    /// The part to go on with, when a snapshot has begun to arrive.
    pub part: Option<PartOfSnapshot>,
}

/// Answers a [`PullRequest`], in a bounded number of bytes; the asking node asks again for more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullReply {
    /// Changes that follow the asking node's revision, in order; none when it lacks nothing.
    Changes {
        /// The changes.
        changes: Vec<Arc<Change>>,
    },
    /// One part of the snapshot.
    Part {
        /// Which part.
        part: PartOfSnapshot,
        /// True for the last part.
        last: bool,
        /// The part's documents.
        documents: Vec<Document>,
    },
}
