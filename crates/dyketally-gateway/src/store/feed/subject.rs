//! The parts of the store that are passed on between nodes, each as a whole.

use serde::{Deserialize, Serialize};

/// Which keys a message is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The databases' announcements.
    Announcements,
    /// The nodes' keys and the failover coordinator's.
    Nodes,
}

/// All subjects.
pub(super) const SUBJECTS: [Subject; 3] = [
    Subject::Configuration,
    Subject::Announcements,
    Subject::Nodes,
];
