//! The configuration of one node: the documents in force and the newest changes.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::policy::Revision;

use super::change::Change;
use super::snapshot::Snapshot;

/// What became of an offered change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    InForce,
    /// It, or a later one, was in force already.
    AlreadyKnown,
    /// Changes before it are missing; it was left out.
    Gap,
    /// Another change was accepted as the same revision; the offered one was left out. Happens
    /// only when the key-value service lost accepted changes.
    Contradiction,
}

/// What became of an offered snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installed {
    /// It is in force.
    InForce,
    /// It isn't newer than what was in force.
    NotNewer,
}

/// What a peer lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missing {
    /// Nothing.
    Nothing,
    /// These changes, in order.
    Changes(Vec<Arc<Change>>),
    /// More than the changes that are kept; send the snapshot.
    Snapshot,
}

/// The documents in force and the changes that led to them. Never goes back.
#[derive(Clone, Debug)]
pub struct ConfigurationLog {
    snapshot: Snapshot,
    /// The newest changes in order; the last one made the snapshot's revision.
    recent: VecDeque<Arc<Change>>,
    kept: usize,
}

impl ConfigurationLog {
    /// An empty configuration at revision 0 that keeps the newest `kept` changes.
    pub fn new(kept: usize) -> Self {
        Self {
            snapshot: Snapshot::default(),
            recent: VecDeque::new(),
            kept,
        }
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// The documents in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Applies `change` if it is the very next one.
    pub fn apply(&mut self, change: Arc<Change>) -> Applied {
        let next = self.revision().0 + 1;
        if change.revision.0 > next {
            return Applied::Gap;
        }
        if change.revision.0 < next {
            return self.compare(&change);
        }
        self.snapshot.apply(&change);
        self.recent.push_back(change);
        while self.recent.len() > self.kept {
            self.recent.pop_front();
        }
        Applied::InForce
    }

    /// Replaces all documents if `snapshot` is newer.
    pub fn install(&mut self, snapshot: Snapshot) -> Installed {
        if snapshot.revision <= self.revision() {
            return Installed::NotNewer;
        }
        self.snapshot = snapshot;
        self.recent.clear();
        Installed::InForce
    }

    /// What a peer at `have` lacks.
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

    fn compare(&self, offered: &Change) -> Applied {
        let age = (self.revision().0 - offered.revision.0) as usize;
        let index = self.recent.len().checked_sub(age + 1);
        let known = index.and_then(|index| self.recent.get(index));
        match known {
            Some(known) if known.change_id != offered.change_id => Applied::Contradiction,
            _ => Applied::AlreadyKnown,
        }
    }
}
