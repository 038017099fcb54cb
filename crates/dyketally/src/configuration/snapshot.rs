//! A snapshot of the configuration: all documents as of one revision.

use std::sync::Arc;

use crate::policy::Revision;
use crate::template::Documents;

use super::change::Change;

/// The documents of one revision. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision of the configuration.
    pub revision: Revision,
    /// All documents as of this revision.
    pub documents: Arc<Documents>,
}

impl Snapshot {
    /// Applies a change that was based on this snapshot's revision.
    pub(super) fn apply(&mut self, change: &Change) {
        let documents = Arc::make_mut(&mut self.documents);
        for edit in &change.edits {
            edit.apply(documents);
        }
        self.revision = change.revision;
    }
}
