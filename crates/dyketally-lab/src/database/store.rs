//! The log of a database and the tables that it yields, in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use dyketally::group::{LogPosition, Term};
use serde::{Deserialize, Serialize};

/// Names one row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: String,
    /// The row's primary key.
    pub key: String,
}

/// What a write does to a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row exists with this value, which may be null.
    Put(Option<String>),
    /// The row doesn't exist.
    Delete,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row.
    pub row: RowKey,
    /// What becomes of it.
    pub change: RowChange,
}

/// One committed transaction. A new primary's first entry has no writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the primary that appended it.
    pub term: Term,
    /// The rows written.
    pub writes: Vec<RowWrite>,
}

/// A row as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The value; `None` is null.
    pub value: Option<String>,
    /// Position of the entry that wrote it.
    pub written_at: LogPosition,
}

/// Rows of one table by key.
pub type Table = BTreeMap<String, Row>;

#[derive(Debug)]
struct AppliedEntry {
    entry: Arc<LogEntry>,
    /// The rows before the entry, in the order of its writes.
    before: Vec<Option<Row>>,
}

/// The log and the tables.
#[derive(Debug, Default)]
pub struct Store {
    log: Vec<AppliedEntry>,
    tables: BTreeMap<String, Table>,
}

impl Store {
    /// Position of the last entry.
    pub fn end(&self) -> LogPosition {
        let offset = self.log.len() as u64;
        let term = self.term_at(offset).unwrap_or_default();
        LogPosition { term, offset }
    }

    /// Term of the entry at `offset`; offset 0, before the first entry, has term 0.
    pub fn term_at(&self, offset: u64) -> Option<Term> {
        let Some(index) = offset.checked_sub(1) else {
            return Some(Term::default());
        };
        let applied = self.log.get(usize::try_from(index).ok()?)?;
        Some(applied.entry.term)
    }

    /// At most `limit` entries behind `offset`.
    pub fn entries_after(&self, offset: u64, limit: usize) -> Vec<Arc<LogEntry>> {
        let skipped = usize::try_from(offset).unwrap_or(usize::MAX);
        let entries = self.log.iter().skip(skipped).take(limit);
        entries.map(|applied| applied.entry.clone()).collect()
    }

    /// Appends an entry and applies its writes.
    pub fn append(&mut self, entry: Arc<LogEntry>) -> LogPosition {
        let written_at = LogPosition {
            term: entry.term,
            offset: self.log.len() as u64 + 1,
        };
        let writes = entry.writes.iter();
        let before = writes
            .map(|write| apply(&mut self.tables, write, written_at))
            .collect();
        self.log.push(AppliedEntry { entry, before });
        written_at
    }

    /// Takes back all entries behind `offset`.
    pub fn truncate(&mut self, offset: u64) {
        while self.log.len() as u64 > offset {
            let Some(applied) = self.log.pop() else {
                return;
            };
            let writes = applied.entry.writes.iter();
            for (write, before) in writes.zip(applied.before).rev() {
                restore(&mut self.tables, &write.row, before);
            }
        }
    }

    /// One row.
    pub fn row(&self, row: &RowKey) -> Option<&Row> {
        self.tables.get(&row.table)?.get(&row.key)
    }

    /// All rows of a table; `None` when nothing was ever written to it.
    pub fn table(&self, name: &str) -> Option<&Table> {
        self.tables.get(name)
    }
}

fn apply(
    tables: &mut BTreeMap<String, Table>,
    write: &RowWrite,
    written_at: LogPosition,
) -> Option<Row> {
    let table = tables.entry(write.row.table.clone()).or_default();
    match &write.change {
        RowChange::Delete => table.remove(&write.row.key),
        RowChange::Put(value) => {
            let value = value.clone();
            table.insert(write.row.key.clone(), Row { value, written_at })
        }
    }
}

fn restore(tables: &mut BTreeMap<String, Table>, row: &RowKey, before: Option<Row>) {
    let table = tables.entry(row.table.clone()).or_default();
    match before {
        Some(previous) => table.insert(row.key.clone(), previous),
        None => table.remove(&row.key),
    };
}
