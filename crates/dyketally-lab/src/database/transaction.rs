//! A transaction: writes buffered over the store until they are committed as one entry.

use std::collections::BTreeMap;

use dyketally::group::LogPosition;

use super::store::{RowChange, RowKey, RowWrite, Store};

#[derive(Debug)]
struct BufferedWrite {
    change: RowChange,
    /// Where the row had been written when the transaction first wrote it.
    seen: Option<LogPosition>,
}

/// The buffered writes of one transaction.
#[derive(Debug, Default)]
pub struct Transaction {
    writes: BTreeMap<RowKey, BufferedWrite>,
}

impl Transaction {
    /// The value of a row as the transaction sees it; `None` when there is no such row.
    pub fn value(&self, store: &Store, row: &RowKey) -> Option<Option<String>> {
        match self.writes.get(row) {
            Some(write) => match &write.change {
                RowChange::Put(value) => Some(value.clone()),
                RowChange::Delete => None,
            },
            None => store.row(row).map(|row| row.value.clone()),
        }
    }

    /// All rows of a table as the transaction sees them, ordered by key.
    pub fn table(&self, store: &Store, table: &str) -> BTreeMap<String, Option<String>> {
        let stored = store.table(table).into_iter().flatten();
        let mut rows: BTreeMap<String, Option<String>> = stored
            .map(|(key, row)| (key.clone(), row.value.clone()))
            .collect();
        let own = self.writes.iter().filter(|(row, _)| row.table == table);
        for (row, write) in own {
            match &write.change {
                RowChange::Put(value) => rows.insert(row.key.clone(), value.clone()),
                RowChange::Delete => rows.remove(&row.key),
            };
        }
        rows
    }

    /// Buffers a write.
    pub fn write(&mut self, store: &Store, row: RowKey, change: RowChange) {
        let seen = match self.writes.get(&row) {
            Some(earlier) => earlier.seen,
            None => written_at(store, &row),
        };
        self.writes.insert(row, BufferedWrite { change, seen });
    }

    /// True when another transaction changed a row since this one first wrote it.
    pub fn conflicts(&self, store: &Store) -> bool {
        let mut writes = self.writes.iter();
        writes.any(|(row, write)| written_at(store, row) != write.seen)
    }

    /// True when nothing was written.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// The writes for the log, ordered by row.
    pub fn into_writes(self) -> Vec<RowWrite> {
        let writes = self.writes.into_iter();
        writes
            .map(|(row, write)| RowWrite {
                row,
                change: write.change,
            })
            .collect()
    }
}

fn written_at(store: &Store, row: &RowKey) -> Option<LogPosition> {
    store.row(row).map(|row| row.written_at)
}
