//! The simulated key-value service, and the oracle: the changes that it accepted.

use std::sync::Arc;

use dyketally::configuration::{Change, ChangeId, Observation, PublisherAnswer, Snapshot, Winner};
use dyketally::policy::Revision;
use dyketally::template::Documents;

/// Holds the accepted changes; the change that made revision `r` is at index `r - 1`.
#[derive(Default)]
pub struct Service {
    accepted: Vec<Arc<Change>>,
    /// The documents of each revision, from 0.
    documents: Vec<Documents>,
    /// Requests that have yet to reach the service.
    delayed: Vec<Arc<Change>>,
    pub down: bool,
}

impl Service {
    pub fn new() -> Self {
        Self {
            documents: vec![Documents::default()],
            ..Self::default()
        }
    }

    pub fn current(&self) -> u64 {
        self.accepted.len() as u64
    }

    /// Carries out a commit if the newest revision is the one that the change was made on.
    pub fn commit(&mut self, change: &Arc<Change>) -> PublisherAnswer {
        let seen = change.revision.0 - 1;
        if self.current() != seen {
            return PublisherAnswer::NotCommitted(self.observe(seen));
        }
        let mut documents = self.documents.last().expect("revision 0").clone();
        for edit in &change.edits {
            edit.apply(&mut documents);
        }
        self.documents.push(documents);
        self.accepted.push(change.clone());
        PublisherAnswer::Committed
    }

    pub fn observe(&self, seen: u64) -> Observation {
        let following = self.accepted.get(seen as usize);
        Observation {
            current: Revision(self.current()),
            following: following.map(|change| Winner {
                change_id: change.change_id,
                author: change.author.clone(),
                revision: change.revision,
            }),
        }
    }

    pub fn delay(&mut self, change: Arc<Change>) {
        self.delayed.push(change);
    }

    pub fn delayed(&self) -> usize {
        self.delayed.len()
    }

    /// Lets a delayed request take effect; its reply is lost.
    pub fn arrive(&mut self, index: usize) {
        let change = self.delayed.swap_remove(index);
        self.commit(&change);
    }

    pub fn changes_after(&self, have: Revision) -> Vec<Arc<Change>> {
        self.accepted
            .get(have.0 as usize..)
            .unwrap_or_default()
            .to_vec()
    }

    pub fn snapshot_at(&self, revision: u64) -> Snapshot {
        Snapshot {
            revision: Revision(revision),
            documents: Arc::new(self.documents_at(revision).clone()),
        }
    }

    pub fn documents_at(&self, revision: u64) -> &Documents {
        &self.documents[revision as usize]
    }

    /// The revisions that the change was accepted as; more than one is a violation.
    pub fn revisions_of(&self, change_id: ChangeId) -> Vec<Revision> {
        let own = self
            .accepted
            .iter()
            .filter(|change| change.change_id == change_id);
        own.map(|change| change.revision).collect()
    }
}
