//! The operators' configuration as it lies in the key-value service.
//!
//! Under one prefix: `revision`, the counter; `changes/<revision>`, each change as JSON; and
//! `documents/<kind>/<name>`, the texts in force. One transaction writes all that a change touches.

mod encoding;
mod error;
mod keys;
mod read;

use std::sync::Arc;

use dyketally::configuration::{Change, DocumentEdit, Observation, Snapshot, Winner};
use dyketally::policy::Revision;

pub use self::error::ConfigurationError;
pub use self::keys::{ConfigurationKeys, DEFAULT_PREFIX};
pub use self::read::{ChangeStream, Missed};

use super::key_value::{
    Condition, KeyRange, KeyValueStore, Operation, PutRequest, RangeRequest, StoreRevision,
    TransactionRequest,
};

/// All documents, with the revision of the store at which they were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// The store's revision.
    pub store_revision: StoreRevision,
    /// The documents.
    pub snapshot: Snapshot,
}

/// What became of a commit that the service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect.
    Accepted,
    /// The counter wasn't at the revision that the change was made on.
    Refused(Observation),
}

/// Reads and changes the configuration at the key-value service. Clones share the service.
#[derive(Clone)]
pub struct ConfigurationStore {
    store: Arc<dyn KeyValueStore>,
    keys: ConfigurationKeys,
}

impl ConfigurationStore {
    /// The configuration under the prefix of `keys`.
    pub fn new(store: Arc<dyn KeyValueStore>, keys: ConfigurationKeys) -> Self {
        Self { store, keys }
    }

    /// Sends the transaction of `change` once.
    ///
    /// # Errors
    /// When the service fails; the error tells whether the change may have taken effect.
    pub async fn commit(&self, change: &Change) -> Result<Commit, ConfigurationError> {
        let seen = Revision(change.revision.0.saturating_sub(1));
        let request = TransactionRequest {
            conditions: vec![self.counter_is(seen)],
            then: self.writes(change)?,
            otherwise: self.observe(seen),
        };
        let reply = self.store.transact(request).await?;
        if reply.succeeded {
            return Ok(Commit::Accepted);
        }
        self.observation(reply).map(Commit::Refused)
    }

    /// Reads the counter and the change that follows `seen`.
    ///
    /// # Errors
    /// When the service fails or the change can't be read.
    pub async fn read_back(&self, seen: Revision) -> Result<Observation, ConfigurationError> {
        let request = TransactionRequest {
            then: self.observe(seen),
            ..TransactionRequest::default()
        };
        let reply = self.store.transact(request).await?;
        self.observation(reply)
    }

    fn counter_is(&self, revision: Revision) -> Condition {
        let key = self.keys.counter();
        match revision {
            Revision(0) => Condition::Absent { key },
            revision => Condition::Holds {
                key,
                value: encoding::counter_value(revision),
            },
        }
    }

    fn writes(&self, change: &Change) -> Result<Vec<Operation>, ConfigurationError> {
        let counter = PutRequest {
            key: self.keys.counter(),
            value: encoding::counter_value(change.revision),
            lease: None,
        };
        let record = PutRequest {
            key: self.keys.change(change.revision),
            value: encoding::change_value(change)?,
            lease: None,
        };
        let mut writes = vec![Operation::Put(counter), Operation::Put(record)];
        // A transaction may write a key only once, so the last edit of a document counts.
        for (index, edit) in change.edits.iter().enumerate() {
            let later = &change.edits[index + 1..];
            let replaced = later.iter().any(|later| later.target() == edit.target());
            if !replaced {
                writes.push(self.write(edit));
            }
        }
        Ok(writes)
    }

    fn write(&self, edit: &DocumentEdit) -> Operation {
        match edit {
            DocumentEdit::Put(document) => Operation::Put(PutRequest {
                key: self.keys.document(document.kind, &document.name),
                value: document.text.clone().into(),
                lease: None,
            }),
            DocumentEdit::Remove { kind, name } => {
                let key = self.keys.document(*kind, name);
                Operation::Delete(KeyRange::key(key))
            }
        }
    }

    fn observe(&self, seen: Revision) -> Vec<Operation> {
        let following = self.keys.change(Revision(seen.0 + 1));
        let keys = [self.keys.counter(), following];
        let ranges = keys.map(|key| Operation::Range(RangeRequest::all(KeyRange::key(key))));
        ranges.into()
    }

    fn observation(
        &self,
        reply: super::key_value::TransactionReply,
    ) -> Result<Observation, ConfigurationError> {
        let [counter, following] = encoding::ranges(reply)?;
        let following = encoding::changes(following.entries)?.into_iter().next();
        Ok(Observation {
            current: encoding::counter(&counter.entries)?,
            following: following.map(|change| Winner {
                change_id: change.change_id,
                author: change.author.clone(),
                revision: change.revision,
            }),
        })
    }
}
