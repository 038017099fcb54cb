//! What a reader that follows a range of keys is passed: all keys, or one change.

use crate::key_value::{Entry, StoreRevision, WatchEvent};

/// What a reader that follows a range of keys is passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreUpdate {
    /// These are all keys now.
    All(Vec<Entry>),
    /// One key changed.
    Changed(WatchEvent),
}

impl StoreUpdate {
    /// The store's revision of the newest change in it; zero if it holds no keys.
    pub fn newest(&self) -> StoreRevision {
        match self {
            Self::All(entries) => {
                let revisions = entries.iter().map(|entry| entry.modified);
                revisions.max().unwrap_or_default()
            }
            Self::Changed(WatchEvent::Put(entry)) => entry.modified,
            Self::Changed(WatchEvent::Deleted { store_revision, .. }) => *store_revision,
        }
    }
}
