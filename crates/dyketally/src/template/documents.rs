//! The operators' documents of one revision, as text.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The three kinds of documents that operators keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentKind {
    /// A database group.
    Group,
    /// A template.
    Template,
    /// A tenant.
    Tenant,
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DocumentKind::Group => "group",
            DocumentKind::Template => "template",
            DocumentKind::Tenant => "tenant",
        })
    }
}

/// All documents of one revision: TOML texts by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Documents {
    /// Groups by name.
    pub groups: BTreeMap<String, String>,
    /// Templates by name.
    pub templates: BTreeMap<String, String>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, String>,
}

impl Documents {
    /// The documents of one kind.
    pub fn of_kind(&self, kind: DocumentKind) -> &BTreeMap<String, String> {
        match kind {
            DocumentKind::Group => &self.groups,
            DocumentKind::Template => &self.templates,
            DocumentKind::Tenant => &self.tenants,
        }
    }

    /// The documents of one kind, to change them.
    pub fn of_kind_mut(&mut self, kind: DocumentKind) -> &mut BTreeMap<String, String> {
        match kind {
            DocumentKind::Group => &mut self.groups,
            DocumentKind::Template => &mut self.templates,
            DocumentKind::Tenant => &mut self.tenants,
        }
    }
}

/// How faults call the document of `kind` that is kept as `name`.
pub(super) fn document_label(kind: DocumentKind, name: &str) -> String {
    format!("{kind} {name:?}")
}
