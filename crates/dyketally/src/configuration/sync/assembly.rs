//! Puts the parts of a snapshot together.

use std::sync::Arc;

use super::message::{DocumentKey, PartOfSnapshot};
use crate::configuration::change::Document;
use crate::configuration::snapshot::Snapshot;
use crate::policy::Revision;
use crate::template::Documents;

/// Bytes of a snapshot beyond which a peer's parts are taken for garbage.
const LARGEST_SNAPSHOT_BYTES: usize = 256 * 1024 * 1024;

/// The parts that have arrived so far.
#[derive(Clone, Debug)]
pub(super) struct Assembly {
    next: PartOfSnapshot,
    documents: Documents,
    bytes: usize,
}

/// What a part did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Assembled {
    /// More parts are missing.
    Continues,
    /// The snapshot is whole.
    Whole(Snapshot),
    /// The part isn't the next one, or the snapshot grows beyond all bounds.
    Unusable,
}

impl Assembly {
    /// An assembly of which nothing has arrived.
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

    /// The part that is missing next.
    pub(super) fn next(&self) -> &PartOfSnapshot {
        &self.next
    }

    /// Adds the part that is missing next.
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
