//! Describes a watch of the store: which keys, how they are first_read read, and how changes are batched. Values only.

use std::time::Duration;

use dyketally_store::key_value::KeyRange;

use crate::store::feed::Subject;

/// Describes the watch of all keys below one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchSpec {
    /// The prefix of the keys.
    pub prefix: String,
    /// How long to pause after a change before the watch continues, so that changes in quick succession arrive in one
    /// batch.
    pub batching: ChangeBatching,
    /// The subject as which relays forward the keys.
    pub subject: Subject,
    /// How the keys are read when the node starts.
    pub first_read: FirstRead,
}

impl WatchSpec {
    /// The range of all keys below the prefix.
    pub fn range(&self) -> KeyRange {
        KeyRange::prefix(&self.prefix)
    }
}

/// How keys are read when a node starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstRead {
    /// The newest values (a linearizable read).
    Newest,
    /// Values that may be some seconds old, which cost the store less. A relay or the next read brings newer ones.
    Stale,
}

/// How long a watch pauses after a change, to batch changes in quick succession.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeBatching {
    /// This long for each key beyond the first_read few: with many keys, many tend to change together, for example when
    /// nodes start.
    PerKey(Duration),
    /// Longer with each further change of a burst.
    Bursts,
}
