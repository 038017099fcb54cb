//! The keys of the configuration.

use dyketally::policy::Revision;
use dyketally::template::DocumentKind;

use crate::stores::key_value::{Key, KeyRange};

/// The prefix unless the settings name another one.
pub const DEFAULT_PREFIX: &str = "/dyketally/configuration";

/// Builds the keys under one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationKeys {
    prefix: String,
}

impl Default for ConfigurationKeys {
    fn default() -> Self {
        Self::new(DEFAULT_PREFIX)
    }
}

impl ConfigurationKeys {
    /// Keys that begin with `prefix` and a slash.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.trim_end_matches('/').to_owned(),
        }
    }

    pub(super) fn counter(&self) -> Key {
        format!("{}/revision", self.prefix).into()
    }

    /// Ordered as the revisions are: 20 digits hold every number of 64 bits.
    pub(super) fn change(&self, revision: Revision) -> Key {
        format!("{}{:020}", self.changes_prefix(), revision.0).into()
    }

    pub(super) fn document(&self, kind: DocumentKind, name: &str) -> Key {
        format!("{}{kind}/{name}", self.documents_prefix()).into()
    }

    pub(super) fn changes(&self) -> KeyRange {
        KeyRange::prefix(&self.changes_prefix())
    }

    /// The changes from `first` on.
    pub(super) fn changes_from(&self, first: Revision) -> KeyRange {
        KeyRange {
            start: self.change(first),
            ..self.changes()
        }
    }

    /// The changes before `end`.
    pub(super) fn changes_before(&self, end: Revision) -> KeyRange {
        KeyRange {
            end: Some(self.change(end)),
            ..self.changes()
        }
    }

    pub(super) fn documents(&self) -> KeyRange {
        KeyRange::prefix(&self.documents_prefix())
    }

    /// The documents behind `key`.
    pub(super) fn documents_after(&self, key: &Key) -> KeyRange {
        let mut start = key.as_bytes().to_vec();
        start.push(0);
        KeyRange {
            start: Key::new(start),
            ..self.documents()
        }
    }

    /// The kind and the name of a document's key.
    pub(super) fn parse_document(&self, key: &Key) -> Option<(DocumentKind, String)> {
        let key = std::str::from_utf8(key.as_bytes()).ok()?;
        let (kind, name) = key
            .strip_prefix(&self.documents_prefix())?
            .split_once('/')?;
        let kinds = [
            DocumentKind::Group,
            DocumentKind::Template,
            DocumentKind::Tenant,
        ];
        let kind = kinds.into_iter().find(|known| known.to_string() == kind)?;
        Some((kind, name.to_owned()))
    }

    fn changes_prefix(&self) -> String {
        format!("{}/changes/", self.prefix)
    }

    fn documents_prefix(&self) -> String {
        format!("{}/documents/", self.prefix)
    }
}
