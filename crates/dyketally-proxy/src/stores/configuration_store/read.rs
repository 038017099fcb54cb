//! Reading and following the stored configuration.

use std::pin::Pin;
use std::sync::Arc;

use dyketally::configuration::{Change, Snapshot};
use dyketally::policy::Revision;
use dyketally::template::Documents;
use futures::{Stream, StreamExt};

use super::encoding::{self, unreadable};
use super::error::ConfigurationError;
use super::{ConfigurationStore, StoredConfiguration};
use crate::stores::key_value::{
    Entry, KeyOrder, KeyRange, Operation, RangeRequest, StoreRevision, TransactionRequest,
    WatchBatch, WatchEvent, WatchRequest,
};

/// Documents that are read with one request.
const DOCUMENTS_PER_PAGE: u32 = 200;

/// Missing changes that are read one by one; with more the documents are read instead.
const MOST_CHANGES_READ: u32 = 64;

/// What a node at some revision has missed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missed {
    /// The store's revision when it was read.
    pub store_revision: StoreRevision,
    /// The counter.
    pub current: Revision,
    /// The changes up to `current`, in order; fewer when there are too many to read one by one.
    pub changes: Vec<Arc<Change>>,
}

/// Changes as they are accepted. Ends, or yields an error as its last item, when the watch is
/// lost.
pub type ChangeStream =
    Pin<Box<dyn Stream<Item = Result<Vec<Arc<Change>>, ConfigurationError>> + Send>>;

impl ConfigurationStore {
    /// Reads all documents as of one revision.
    ///
    /// # Errors
    /// When the service fails or a key can't be read.
    pub async fn current(&self) -> Result<StoredConfiguration, ConfigurationError> {
        let request = reads([
            RangeRequest::all(KeyRange::key(self.keys.counter())),
            first_page(self.keys.documents()),
        ]);
        let reply = self.store.transact(request).await?;
        let store_revision = reply.store_revision;
        let [counter, mut page] = encoding::ranges(reply)?;
        let mut documents = Documents::default();
        loop {
            self.add_page(&mut documents, &page.entries)?;
            let Some(last) = page.entries.last().filter(|_| page.more) else {
                break;
            };
            let next = RangeRequest {
                at: Some(store_revision),
                ..first_page(self.keys.documents_after(&last.key))
            };
            page = self.store.range(next).await?;
        }
        let snapshot = Snapshot {
            revision: encoding::counter(&counter.entries)?,
            documents: Arc::new(documents),
        };
        Ok(StoredConfiguration {
            store_revision,
            snapshot,
        })
    }

    /// Reads the changes that follow `have`.
    ///
    /// # Errors
    /// When the service fails or a key can't be read.
    pub async fn missed(&self, have: Revision) -> Result<Missed, ConfigurationError> {
        let following = RangeRequest {
            limit: MOST_CHANGES_READ,
            ..RangeRequest::all(self.keys.changes_from(Revision(have.0.saturating_add(1))))
        };
        let counter = RangeRequest::all(KeyRange::key(self.keys.counter()));
        let reply = self.store.transact(reads([counter, following])).await?;
        let store_revision = reply.store_revision;
        let [counter, following] = encoding::ranges(reply)?;
        Ok(Missed {
            store_revision,
            current: encoding::counter(&counter.entries)?,
            changes: encoding::changes(following.entries)?,
        })
    }

    /// The newest `limit` changes before `before`, or of all; newest first.
    ///
    /// # Errors
    /// When the service fails or a key can't be read.
    pub async fn history(
        &self,
        before: Option<Revision>,
        limit: u32,
    ) -> Result<Vec<Arc<Change>>, ConfigurationError> {
        let range = match before {
            None => self.keys.changes(),
            Some(before) => self.keys.changes_before(before),
        };
        let request = RangeRequest {
            limit,
            order: KeyOrder::Descending,
            ..RangeRequest::all(range)
        };
        encoding::changes(self.store.range(request).await?.entries)
    }

    /// Follows the changes that are accepted after `store_revision`.
    ///
    /// # Errors
    /// When the watch can't be opened.
    pub async fn follow(
        &self,
        store_revision: StoreRevision,
    ) -> Result<ChangeStream, ConfigurationError> {
        let request = WatchRequest {
            range: self.keys.changes(),
            from: store_revision.next(),
            longest_quiet: None,
        };
        let batches = self.store.watch(request).await?;
        let changes = batches.map(|batch| changes_of(batch?));
        Ok(changes.boxed())
    }

    fn add_page(
        &self,
        documents: &mut Documents,
        entries: &[Entry],
    ) -> Result<(), ConfigurationError> {
        for entry in entries {
            let key = self.keys.parse_document(&entry.key);
            let (kind, name) = key.ok_or_else(|| unreadable(entry, "unknown kind of document"))?;
            let text = encoding::text(entry)?;
            documents.of_kind_mut(kind).insert(name, text);
        }
        Ok(())
    }
}

fn reads<const COUNT: usize>(ranges: [RangeRequest; COUNT]) -> TransactionRequest {
    TransactionRequest {
        then: ranges.map(Operation::Range).into(),
        ..TransactionRequest::default()
    }
}

fn first_page(range: KeyRange) -> RangeRequest {
    RangeRequest {
        limit: DOCUMENTS_PER_PAGE,
        ..RangeRequest::all(range)
    }
}

fn changes_of(batch: WatchBatch) -> Result<Vec<Arc<Change>>, ConfigurationError> {
    let puts = batch.events.iter().filter_map(|event| match event {
        WatchEvent::Put(entry) => Some(encoding::change(entry)),
        WatchEvent::Deleted { .. } => None,
    });
    puts.collect()
}
