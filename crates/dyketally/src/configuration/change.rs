//! One change of the configuration.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::policy::Revision;
use crate::template::{DocumentKind, Documents};

/// Edits that one change may carry; the key-value service carries out 128 operations in one
/// transaction by default, and each edit is one of them.
pub const MOST_EDITS: usize = 100;

/// Largest change, in bytes of names and texts; a node sends whole changes to its peers.
pub const LARGEST_CHANGE_BYTES: usize = 256 * 1024;

/// Identifies a change, so that its publisher recognises it when the reply was lost. Random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ChangeId(u128);

impl ChangeId {
    /// Draws a new identifier.
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

/// Wall-clock time of an operator's machine, in milliseconds since 1970. Shown, never compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

/// One document: a TOML text with its kind and name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The kind.
    pub kind: DocumentKind,
    /// The name, unique within the kind.
    pub name: String,
    /// The TOML text.
    pub text: String,
}

impl Document {
    /// Bytes that the document takes, near enough for bounds.
    pub fn bytes(&self) -> usize {
        self.name.len() + self.text.len()
    }
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentEdit {
    /// Create or replace a document.
    Put(Document),
    /// Remove a document.
    Remove {
        /// Its kind.
        kind: DocumentKind,
        /// Its name.
        name: String,
    },
}

impl DocumentEdit {
    /// Bytes that the edit takes, near enough for bounds.
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

    /// Carries the edit out. Removing what doesn't exist changes nothing.
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
    /// The revision that the change makes: one more than the one it was made on.
    pub revision: Revision,
    /// Identifies the change.
    pub change_id: ChangeId,
    /// Who published it, as the operator's tool was told.
    pub author: String,
    /// When it was published, by the operator's clock.
    pub published_at: UnixMillis,
    /// What it changes.
    pub edits: Vec<DocumentEdit>,
}

impl Change {
    /// Bytes that the change takes, near enough for bounds.
    pub fn bytes(&self) -> usize {
        let edits: usize = self.edits.iter().map(DocumentEdit::bytes).sum();
        self.author.len() + edits
    }

    /// Checks the bounds of a change before it is published.
    ///
    /// # Errors
    /// When the change is empty or too large.
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
    /// Nothing is edited.
    #[error("the change edits no document; edit at least one")]
    Empty,
    /// Too many documents are edited.
    #[error(
        "the change edits {edits} documents, {MOST_EDITS} at most; publish it in several changes"
    )]
    TooManyEdits {
        /// How many.
        edits: usize,
    },
    /// The texts are too long.
    #[error(
        "the change has {bytes} bytes, {LARGEST_CHANGE_BYTES} at most; publish it in several \
         changes"
    )]
    TooLarge {
        /// How many bytes.
        bytes: usize,
    },
    /// The identifier isn't a hexadecimal number of 128 bits.
    #[error("a change's identifier is a hexadecimal number of 128 bits; copy it from the history")]
    MalformedId,
}
