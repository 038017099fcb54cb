//! Reads one TOML table field by field and records its faults.

use std::cell::RefCell;
use std::ops::RangeInclusive;

use super::fault::{FaultKind, FaultList};
use super::field::{Field, Ranged};

/// Longest value quoted in a fault, in characters.
const LONGEST_QUOTED_VALUE: usize = 60;

/// Reads the fields of one table and records faults; [`TableReader::finish`] reports unknown keys.
#[derive(Debug)]
pub struct TableReader<'a> {
    document: &'a str,
    path: String,
    table: Option<&'a toml::Table>,
    /// Keys of the fields that were read, whether they are set or not.
    known: RefCell<Vec<String>>,
    faults: &'a FaultList,
}

impl<'a> TableReader<'a> {
    /// A reader of the document's root table.
    pub fn new(document: &'a str, table: &'a toml::Table, faults: &'a FaultList) -> Self {
        Self::at(document, String::new(), Some(table), faults)
    }

    fn at(
        document: &'a str,
        path: String,
        table: Option<&'a toml::Table>,
        faults: &'a FaultList,
    ) -> Self {
        let known = RefCell::default();
        Self {
            document,
            path,
            table,
            known,
            faults,
        }
    }

    /// The path of `key` within the document, as messages show it.
    pub fn path_of(&self, key: &str) -> String {
        match self.path.is_empty() {
            true => key.to_owned(),
            false => format!("{}.{key}", self.path),
        }
    }

    /// The path of this table within its document.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Records a fault at `key`.
    pub fn fault(&self, key: &str, kind: FaultKind) {
        self.faults.add(self.document, &self.path_of(key), kind);
    }

    /// Records a fault of this table as a whole.
    pub fn table_fault(&self, kind: FaultKind) {
        self.faults.add(self.document, &self.path, kind);
    }

    /// The raw value of `key`, if it is set.
    pub fn value(&self, key: &str) -> Option<&'a toml::Value> {
        let mut known = self.known.borrow_mut();
        if !known.iter().any(|other| other == key) {
            known.push(key.to_owned());
        }
        self.table?.get(key)
    }

    /// The field `key` if it is set and well formed; records a fault if it is malformed.
    pub fn optional<T: Field>(&self, key: &str) -> Option<T> {
        let value = self.value(key)?;
        let read = T::from_value(value);
        if read.is_none() {
            self.malformed(key, value, T::expected());
        }
        read
    }

    /// The field `key`; records a fault if it isn't set or is malformed.
    pub fn required<T: Field>(&self, key: &str) -> Option<T> {
        self.require::<T>(key);
        self.optional(key)
    }

    /// The field `key`, or `default` if it isn't set or is malformed; records a fault if it is malformed.
    pub fn or_default<T: Field>(&self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// The field `key` if it is set, well formed and within `range`; records a fault if it is malformed
    /// or outside the range.
    pub fn in_range<T: Ranged>(&self, key: &str, range: RangeInclusive<T>) -> Option<T> {
        let found = self.optional::<T>(key)?;
        if range.contains(&found) {
            return Some(found);
        }
        let kind = FaultKind::OutOfRange {
            found: found.show(),
            least: range.start().show(),
            most: range.end().show(),
        };
        self.fault(key, kind);
        None
    }

    /// The field `key` as [`TableReader::in_range`] reads it, for numbers without a sign.
    pub fn number_in(&self, key: &str, range: RangeInclusive<u32>) -> Option<u32> {
        let range = i64::from(*range.start())..=i64::from(*range.end());
        let found = self.in_range(key, range)?;
        u32::try_from(found).ok()
    }

    /// Records a fault if `key` isn't set. Makes a field required that [`TableReader::in_range`] or
    /// [`TableReader::number_in`] reads.
    pub fn require<T: Field>(&self, key: &str) {
        if self.value(key).is_none() {
            let expected = T::expected();
            self.fault(key, FaultKind::Missing { expected });
        }
    }

    /// Records that the value `found` of `key` is not one of those described by `expected`.
    pub fn malformed(&self, key: &str, found: &toml::Value, expected: String) {
        let found = quote(found);
        self.fault(key, FaultKind::Malformed { found, expected });
    }

    /// A reader of the table `key`; it reads as empty if `key` isn't set.
    pub fn table(&self, key: &str) -> TableReader<'a> {
        let value = self.value(key);
        let table = value.and_then(toml::Value::as_table);
        if let (Some(value), None) = (value, table) {
            self.malformed(key, value, format!("a table [{}]", self.path_of(key)));
        }
        Self::at(self.document, self.path_of(key), table, self.faults)
    }

    /// Readers of the tables in the list `key`; none if `key` isn't set.
    pub fn tables(&self, key: &str) -> Vec<TableReader<'a>> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let expected = || format!("a list of tables [[{}]]", self.path_of(key));
        let Some(entries) = value.as_array() else {
            self.malformed(key, value, expected());
            return Vec::new();
        };
        let mut readers = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let numbered = format!("{key}[{index}]");
            match entry.as_table() {
                Some(table) => {
                    let path = self.path_of(&numbered);
                    readers.push(Self::at(self.document, path, Some(table), self.faults));
                }
                None => self.malformed(&numbered, entry, expected()),
            }
        }
        readers
    }

    /// The values of the list `key` without the malformed ones; none if `key` isn't set.
    pub fn list<T: Field>(&self, key: &str) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(entries) = value.as_array() else {
            self.malformed(key, value, format!("a list, each {}", T::expected()));
            return Vec::new();
        };
        let read = |(index, entry): (usize, &toml::Value)| {
            let read = T::from_value(entry);
            if read.is_none() {
                self.malformed(&format!("{key}[{index}]"), entry, T::expected());
            }
            read
        };
        entries.iter().enumerate().filter_map(read).collect()
    }

    /// The keys of this table, for tables whose keys are names given by operators.
    pub fn keys(&self) -> Vec<&'a str> {
        let keys = self.table.into_iter().flat_map(|table| table.keys());
        keys.map(String::as_str).collect()
    }

    /// Records a fault for each key of the table that no field was read from.
    pub fn finish(self) {
        let known = self.known.borrow();
        let unknown = |key: &&str| !known.iter().any(|other| other == key);
        for key in self.keys().into_iter().filter(unknown) {
            let known = known.join(", ");
            self.fault(key, FaultKind::UnknownKey { known });
        }
    }
}

/// The value as messages show it, cut to [`LONGEST_QUOTED_VALUE`] characters.
fn quote(value: &toml::Value) -> String {
    let text = match value {
        toml::Value::Table(_) => "a table".to_owned(),
        toml::Value::Array(_) => "a list".to_owned(),
        toml::Value::String(text) => format!("{text:?}"),
        other => other.to_string(),
    };
    match text.chars().count() > LONGEST_QUOTED_VALUE {
        true => text
            .chars()
            .take(LONGEST_QUOTED_VALUE)
            .chain("...".chars())
            .collect(),
        false => text,
    }
}
