//! Assembles a snapshot from the parts that peers send.

use std::sync::Arc;

use super::message::{DocumentKey, PartOfSnapshot};
use crate::configuration::change::Document;
use crate::configuration::snapshot::Snapshot;
use crate::policy::Revision;
use crate::template::Documents;

/// Largest snapshot, in bytes. Parts that exceed it are treated as corrupt and dropped.
const LARGEST_SNAPSHOT_BYTES: usize = 256 * 1024 * 1024;

/// A snapshot of which some parts have arrived.
#[derive(Clone, Debug)]
pub(super) struct Assembly {
    next: PartOfSnapshot,
    documents: Documents,
    bytes: usize,
}

/// Result of adding a part to an [`Assembly`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Assembled {
    /// More parts are missing.
    Continues,
    /// The snapshot is complete.
    Whole(Snapshot),
    /// The part isn't the next one, or the snapshot exceeds [`LARGEST_SNAPSHOT_BYTES`].
    Unusable,
}

impl Assembly {
    /// An assembly without any parts.
    pub(super) fn new(revision: Revision) -> Self {
        Self {
            next: PartOfSnapshot {
                revision,
                after: None,
            },
            documents: Documents::default(),
            bytes: 0,
        }
    }

    /// Names the next part to request.
    pub(super) fn next(&self) -> &PartOfSnapshot {
        &self.next
    }

    /// Adds the documents of the part named by [`Assembly::next`]; `last` marks the final part.
    pub(super) fn add(&mut self, last: bool, documents: Vec<Document>) -> Assembled {
        for document in documents {
            self.bytes += document.bytes();
            self.next.after = Some(DocumentKey {
                kind: document.kind,
                name: document.name.clone(),
            });
            let kind = self.documents.of_kind_mut(document.kind);
            kind.insert(document.name, document.text);
        }
        if self.bytes > LARGEST_SNAPSHOT_BYTES {
            return Assembled::Unusable;
        }
        if !last {
            return Assembled::Continues;
        }
        Assembled::Whole(Snapshot {
            revision: self.next.revision,
            documents: Arc::new(std::mem::take(&mut self.documents)),
        })
    }
}
