//! Faults of documents: where they are, what is wrong and what to do about it.

use std::cell::RefCell;
use std::fmt;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    /// The document, as the operator knows it: a file name or `template "orders"`.
    pub document: String,
    /// Path of the field within the document, as in `statements[2].deadline`; empty for the whole.
    pub field: String,
    /// What is wrong, and the remedy.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.is_empty() {
            true => write!(formatter, "{}: {}", self.document, self.kind),
            false => write!(
                formatter,
                "{}: {}: {}",
                self.document, self.field, self.kind
            ),
        }
    }
}

/// What is wrong with a document. Each message ends with the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The text is no TOML.
    #[error("{message}\ncorrect the TOML syntax at this place")]
    Syntax {
        /// The parser's message, with line and column.
        message: String,
    },
    /// A file can't be read.
    #[error("can't be read: {message}; check that the file exists and may be read")]
    Unreadable {
        /// The operating system's message.
        message: String,
    },
    /// A key that nothing reads.
    #[error("unknown key; remove it or use one of: {known}")]
    UnknownKey {
        /// The keys that may stand here.
        known: String,
    },
    /// A field without a value and without a default.
    #[error("is missing; set it to {expected}")]
    Missing {
        /// What the field takes.
        expected: String,
    },
    /// A value of the wrong kind or form.
    #[error("is {found}; set it to {expected}")]
    Malformed {
        /// The value that was found.
        found: String,
        /// What the field takes.
        expected: String,
    },
    /// A value outside the range.
    #[error("is {found}; set it to a value from {least} to {most}")]
    OutOfRange {
        /// The value that was found.
        found: String,
        /// The least value allowed.
        least: String,
        /// The greatest value allowed.
        most: String,
    },
    /// A list or text that may not be empty.
    #[error("is empty; give at least one {entry}")]
    Empty {
        /// What is to be given.
        entry: &'static str,
    },
    /// The same value as in another place where it must differ.
    #[error("repeats {value}, which {first} has already; use a different one")]
    Duplicate {
        /// The repeated value.
        value: String,
        /// Where it stands first.
        first: String,
    },
    /// The name inside a document differs from the name under which it is kept.
    #[error("is {found:?}, but the document is kept as {kept:?}; give both the same name")]
    NameDiffers {
        /// The name in the document.
        found: String,
        /// The name under which it is kept.
        kept: String,
    },
    /// A reference to a document that doesn't exist.
    #[error("names the {kind} {name:?}, which doesn't exist; {remedy}")]
    UnknownReference {
        /// The kind of the document: `group`, `template`.
        kind: &'static str,
        /// The name that was not found.
        name: String,
        /// What to do.
        remedy: String,
    },
    /// A placeholder without a declaration.
    #[error("uses ${{{parameter}}}, which is not declared; declare it under [parameters]")]
    UndeclaredParameter {
        /// The parameter's name.
        parameter: String,
    },
    /// A `${` without its end, or without a name.
    #[error("has a placeholder that is not of the form ${{name}}; correct it")]
    MalformedPlaceholder,
    /// A declared parameter that the template doesn't use.
    #[error("is declared but not used; use ${{{parameter}}} in the template or remove it")]
    UnusedParameter {
        /// The parameter's name.
        parameter: String,
    },
    /// A parameter of a kind that can't stand in the middle of a text.
    #[error("uses ${{{parameter}}} within a text; let it be the whole value")]
    NotText {
        /// The parameter's name.
        parameter: String,
    },
    /// A tenant that leaves out a parameter without a default.
    #[error("is missing; give this parameter of template {template:?} {expected}")]
    MissingParameter {
        /// The tenant's template.
        template: String,
        /// What the parameter takes.
        expected: String,
    },
    /// A statement rule that can never match.
    #[error(
        "never matches, because {earlier} matches first; remove it or move it before {earlier}"
    )]
    ShadowedRule {
        /// The rule that matches first.
        earlier: String,
    },
    /// A read that is to be recorded in the ledger.
    #[error("records a read; set `repeat` to \"repeatable\" or `access` to \"write\"")]
    RecordedRead,
    /// Too few connections for the statements that may run at once.
    #[error(
        "is {connections}, which leaves none beside {slots} slots; \
         allow more connections than slots or fewer slots"
    )]
    TooFewConnections {
        /// The database's connection limit.
        connections: u32,
        /// The database's slots.
        slots: u32,
    },
    /// An address that other nodes can't reach.
    #[error("is {found}, which other nodes can't reach; set {remedy}")]
    UnreachableAddress {
        /// The address that was found.
        found: String,
        /// The field to set.
        remedy: &'static str,
    },
}

/// Collects the faults of one or more documents. Shared by the readers of nested tables.
#[derive(Debug, Default)]
pub struct FaultList(RefCell<Vec<Fault>>);

impl FaultList {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a fault at `field` of `document`.
    pub fn add(&self, document: &str, field: &str, kind: FaultKind) {
        self.0.borrow_mut().push(Fault {
            document: document.to_owned(),
            field: field.to_owned(),
            kind,
        });
    }

    /// Notes faults that were found elsewhere.
    pub fn extend(&self, faults: Vec<Fault>) {
        self.0.borrow_mut().extend(faults);
    }

    /// How many faults were noted so far.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// True when no fault was noted.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The faults, in the order in which they were noted.
    pub fn into_faults(self) -> Vec<Fault> {
        self.0.into_inner()
    }

    /// `value` when it is there and no fault was noted, else the faults.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Vec<Fault>> {
        let faults = self.into_faults();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(faults),
        }
    }
}

/// What to do when several faults are reported together.
pub const MULTIPLE_FAULTS_REMEDY: &str = "mend all of them and check again";

/// All faults of a check as one error, a line each.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct FaultReport(pub Vec<Fault>);

impl fmt::Display for FaultReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(formatter, "{count} {noun}; {MULTIPLE_FAULTS_REMEDY}:")?;
        for fault in &self.0 {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}
