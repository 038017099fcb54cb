//! The parts of the store's keys that a feed distributes; each is sent and watched separately.

use serde::{Deserialize, Serialize};

/// The part of the store's keys that a message or a copy is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The databases' announcements.
    Announcements,
    /// The keys that nodes keep: their records, the failover coordinator's, and fences.
    Nodes,
}

/// All subjects.
pub(super) const SUBJECTS: [Subject; 3] = [
    Subject::Configuration,
    Subject::Announcements,
    Subject::Nodes,
];
