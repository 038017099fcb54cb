//! Messages by which nodes pull configuration from each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::change::{Change, Document};
use crate::policy::Revision;
use crate::template::DocumentKind;

/// Identifies one document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentKey {
    /// The document's kind.
    pub kind: DocumentKind,
    /// The document's name.
    pub name: String,
}

/// Identifies the part of a snapshot that begins after a given document, in the order of kind and
/// name. It means the same position at every node with that revision, whatever part size the node
/// uses, so the parts may come from several peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartOfSnapshot {
    /// The snapshot's revision.
    pub revision: Revision,
    /// The last document of the previous part; `None` for the first part.
    pub after: Option<DocumentKey>,
}

/// Requests missing configuration from a peer. Without a reply it may be sent again, to any peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The requester's current revision.
    pub have: Revision,
    /// The next part of a snapshot that the requester has received in part.
    pub part: Option<PartOfSnapshot>,
}

/// Answers a [`PullRequest`]. Its size is bounded; the requester sends another request for the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullReply {
    /// Changes that follow the requester's revision, in order; empty when it is up to date.
    Changes {
        /// The changes.
        changes: Vec<Arc<Change>>,
    },
    /// One part of the snapshot.
    Part {
        /// Identifies the part.
        part: PartOfSnapshot,
        /// True for the last part.
        last: bool,
        /// The documents of the part.
        documents: Vec<Document>,
    },
}
