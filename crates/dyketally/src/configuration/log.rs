//! The configuration of one node: the current documents and the most recent changes.
//!
//! The changes are kept for peers whose configuration is older.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::policy::Revision;

use super::change::Change;
use super::snapshot::Snapshot;

/// Result of [`ConfigurationLog::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is in force.
    InForce,
    /// The change's revision, or a later one, was already in force.
    AlreadyKnown,
    /// The change was not applied, because changes before it are missing.
    Gap,
    /// The change was not applied, because another change created the same revision. Happens only
    /// when the key-value service lost accepted changes.
    Contradiction,
}

/// Result of [`ConfigurationLog::install`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installed {
    /// The snapshot is in force.
    InForce,
    /// The snapshot was ignored, because it isn't newer than the current configuration.
    NotNewer,
}

/// What a peer needs to reach the revision of a [`ConfigurationLog`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missing {
    /// The peer's configuration is up to date.
    Nothing,
    /// The changes that the peer lacks, in the order of their revisions.
    Changes(Vec<Arc<Change>>),
    /// Some of the missing changes are no longer kept: the peer needs the whole snapshot.
    Snapshot,
}

/// The current documents and the most recent changes. Its revision never decreases.
#[derive(Clone, Debug)]
pub struct ConfigurationLog {
    snapshot: Snapshot,
    /// The most recent changes in the order of their revisions; the last one created the snapshot's
    /// revision.
    recent: VecDeque<Arc<Change>>,
    /// Maximum length of `recent`.
    max_recent: usize,
}

impl ConfigurationLog {
    /// An empty configuration at revision 0 that keeps the `max_recent` most recent changes.
    pub fn new(max_recent: usize) -> Self {
        Self {
            snapshot: Snapshot::default(),
            recent: VecDeque::new(),
            max_recent,
        }
    }

    /// The current revision.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// The current documents with their revision.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Applies `change` if its revision directly follows the current one.
    pub fn apply(&mut self, change: Arc<Change>) -> Applied {
        let next = self.revision().0 + 1;
        if change.revision.0 > next {
            return Applied::Gap;
        }
        if change.revision.0 < next {
            return self.compare_with_known(&change);
        }
        self.snapshot.apply(&change);
        self.recent.push_back(change);
        while self.recent.len() > self.max_recent {
            self.recent.pop_front();
        }
        Applied::InForce
    }

    /// Replaces the current documents with `snapshot` if that is newer.
    pub fn install(&mut self, snapshot: Snapshot) -> Installed {
        if snapshot.revision <= self.revision() {
            return Installed::NotNewer;
        }
        self.snapshot = snapshot;
        self.recent.clear();
        Installed::InForce
    }

    /// What a peer whose current revision is `have` is missing.
    pub fn since(&self, have: Revision) -> Missing {
        if have >= self.revision() {
            return Missing::Nothing;
        }
        let missing = self.revision().0 - have.0;
        let kept = self.recent.len() as u64;
        if missing > kept {
            return Missing::Snapshot;
        }
        let first = (kept - missing) as usize;
        Missing::Changes(self.recent.range(first..).cloned().collect())
    }

    /// Tells a change that is already applied from another change of the same revision. A change too
    /// old to be kept counts as known.
    fn compare_with_known(&self, offered: &Change) -> Applied {
        let age = (self.revision().0 - offered.revision.0) as usize;
        let index = self.recent.len().checked_sub(age + 1);
        let known = index.and_then(|index| self.recent.get(index));
        match known {
            Some(known) if known.change_id != offered.change_id => Applied::Contradiction,
            _ => Applied::AlreadyKnown,
        }
    }
}
