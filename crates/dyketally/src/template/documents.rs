//! The operators' documents of one revision, as TOML texts.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The kinds of documents that operators maintain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentKind {
    /// A database group.
    Group,
    /// A template for tenants.
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

/// All documents of one revision: their TOML texts by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Documents {
    /// Texts of groups by name.
    pub groups: BTreeMap<String, String>,
    /// Texts of templates by name.
    pub templates: BTreeMap<String, String>,
    /// Texts of tenants by name.
    pub tenants: BTreeMap<String, String>,
}

impl Documents {
    /// The documents of `kind`.
    pub fn of_kind(&self, kind: DocumentKind) -> &BTreeMap<String, String> {
        match kind {
            DocumentKind::Group => &self.groups,
            DocumentKind::Template => &self.templates,
            DocumentKind::Tenant => &self.tenants,
        }
    }

    /// Mutable access to the documents of `kind`.
    pub fn of_kind_mut(&mut self, kind: DocumentKind) -> &mut BTreeMap<String, String> {
        match kind {
            DocumentKind::Group => &mut self.groups,
            DocumentKind::Template => &mut self.templates,
            DocumentKind::Tenant => &mut self.tenants,
        }
    }
}

/// The label by which messages identify the document of `kind` called `name`.
pub(super) fn document_label(kind: DocumentKind, name: &str) -> String {
    format!("{kind} {name:?}")
}
