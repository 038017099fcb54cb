//! What a node watches in the store, and how. Values only.

use std::time::Duration;

use dyketally_store::key_value::KeyRange;

use crate::store::feed::Subject;

/// The keys below one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watched {
    /// What the keys begin with.
    pub prefix: String,
    /// How long to pause after a change before the watch goes on: changes that come close together
    /// then arrive with one call.
    pub gathering: Gathering,
    /// Under which subject relays pass the keys on.
    pub subject: Subject,
    /// How the keys are read first.
    pub first: FirstRead,
}

impl Watched {
    /// All keys below the prefix.
    pub fn range(&self) -> KeyRange {
        KeyRange::prefix(&self.prefix)
    }
}

/// How keys are read when a node starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstRead {
    /// As they are now.
    Newest,
    /// As they may have been some seconds ago, which costs the store less. A relay or the next read
    /// brings what is missing.
    Stale,
}

/// How long to pause after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gathering {
    /// So long for each key beyond a few, since many nodes tend to start together.
    PerKey(Duration),
    /// Longer and longer within a burst of changes.
    Bursts,
}
