//! All documents as of one revision.

use std::sync::Arc;

use crate::policy::Revision;
use crate::template::Documents;

use super::change::Change;

/// The documents of one revision. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// Its documents.
    pub documents: Arc<Documents>,
}

impl Snapshot {
    /// Carries out a change that was made on this snapshot.
    pub(super) fn apply(&mut self, change: &Change) {
        let documents = Arc::make_mut(&mut self.documents);
        for edit in &change.edits {
            edit.apply(documents);
        }
        self.revision = change.revision;
    }
}
