//! A change of the configuration: the edits to documents that take effect together, and its bounds.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::policy::Revision;
use crate::template::{DocumentKind, Documents};

/// Most edits in one change. The key-value service allows 128 operations in one transaction by
/// default, and each edit is one operation.
pub const MOST_EDITS: usize = 100;

/// Largest change, in bytes as counted by [`Change::bytes`]. Nodes send a change
/// to their peers as a whole.
pub const LARGEST_CHANGE_BYTES: usize = 256 * 1024;

/// Random identifier of a change, by which its publisher recognises it after a lost reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ChangeId(u128);

impl ChangeId {
    /// A new random identifier.
    pub fn random(random: &mut impl Rng) -> Self {
        ChangeId(random.random())
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> Self {
        id.to_string()
    }
}

impl FromStr for ChangeId {
    type Err = ChangeError;

    fn from_str(text: &str) -> Result<Self, ChangeError> {
        let number = u128::from_str_radix(text, 16);
        number.map(ChangeId).map_err(|_| ChangeError::MalformedId)
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeError;

    fn try_from(text: String) -> Result<Self, ChangeError> {
        text.parse()
    }
}

/// Wall-clock time of an operator's machine, in milliseconds since 1970. Only displayed: clocks of
/// different machines can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

/// One document: a TOML text with its kind and name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The document's kind.
    pub kind: DocumentKind,
    /// The document's name, unique within its kind.
    pub name: String,
    /// The TOML text.
    pub text: String,
}

impl Document {
    /// Approximate size of the document in bytes: its name and its text.
    pub fn bytes(&self) -> usize {
        self.name.len() + self.text.len()
    }
}

/// One edit of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentEdit {
    /// Create or replace a document.
    Put(Document),
    /// Remove a document.
    Remove {
        /// The kind of the document.
        kind: DocumentKind,
        /// The name of the document.
        name: String,
    },
}

impl DocumentEdit {
    /// Approximate size of the edit in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            DocumentEdit::Put(document) => document.bytes(),
            DocumentEdit::Remove { name, .. } => name.len(),
        }
    }

    /// The kind and the name of the document that is edited.
    pub fn target(&self) -> (DocumentKind, &str) {
        match self {
            DocumentEdit::Put(document) => (document.kind, &document.name),
            DocumentEdit::Remove { kind, name } => (*kind, name),
        }
    }

    /// Applies the edit to `documents`. Removing a document that doesn't exist changes nothing.
    pub fn apply(&self, documents: &mut Documents) {
        match self {
            DocumentEdit::Put(document) => {
                let kind = documents.of_kind_mut(document.kind);
                kind.insert(document.name.clone(), document.text.clone());
            }
            DocumentEdit::Remove { kind, name } => {
                documents.of_kind_mut(*kind).remove(name);
            }
        }
    }
}

/// A change of the configuration: its edits take effect together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change creates: one more than the revision it was based on.
    pub revision: Revision,
    /// Identifies the change.
    pub change_id: ChangeId,
    /// Name of the operator who published the change, as given to the command-line tool.
    pub author: String,
    /// When the change was published, by the clock of the operator's machine.
    pub published_at: UnixMillis,
    /// The edits, in the order in which they are applied.
    pub edits: Vec<DocumentEdit>,
}

impl Change {
    /// Approximate size of the change in bytes: its author and its edits.
    pub fn bytes(&self) -> usize {
        let edits: usize = self.edits.iter().map(DocumentEdit::bytes).sum();
        self.author.len() + edits
    }

    /// Checks that the change is neither empty nor too large to be published.
    ///
    /// # Errors
    /// When the change has no edits, more than [`MOST_EDITS`], or more than [`LARGEST_CHANGE_BYTES`] bytes.
    pub fn check_bounds(&self) -> Result<(), ChangeError> {
        let edits = self.edits.len();
        let bytes = self.bytes();
        match () {
            () if edits == 0 => Err(ChangeError::Empty),
            () if edits > MOST_EDITS => Err(ChangeError::TooManyEdits { edits }),
            () if bytes > LARGEST_CHANGE_BYTES => Err(ChangeError::TooLarge { bytes }),
            () => Ok(()),
        }
    }
}

/// Why a change can't be published or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The change has no edits.
    #[error("the change edits no document; edit at least one")]
    Empty,
    /// The change has more than [`MOST_EDITS`] edits.
    #[error(
        "the change edits {edits} documents, at most {MOST_EDITS} are allowed; publish it in several changes"
    )]
    TooManyEdits {
        /// Number of edits in the change.
        edits: usize,
    },
    /// The change is larger than [`LARGEST_CHANGE_BYTES`].
    #[error(
        "the change has {bytes} bytes, at most {LARGEST_CHANGE_BYTES} are allowed; publish it in several \
         changes"
    )]
    TooLarge {
        /// Size of the change in bytes.
        bytes: usize,
    },
    /// The identifier of a change isn't a hexadecimal number of at most 128 bits.
    #[error("a change's identifier is a hexadecimal number of 128 bits; copy it from the history")]
    MalformedId,
}
