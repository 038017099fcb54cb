//! Faults in documents: the place, what is wrong and how to correct it.

use std::cell::RefCell;
use std::fmt;

/// One fault in a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    /// The document as the operator knows it: a file name, or kind and name as in `template "orders"`.
    pub document: String,
    /// Path of the field within the document, as in `statements[2].deadline`; empty when the fault
    /// concerns the whole document.
    pub field: String,
    /// What is wrong and how to correct it.
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

/// What is wrong with a document. Each message ends with how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The text isn't valid TOML.
    #[error("{message}\ncorrect the TOML syntax at this place")]
    Syntax {
        /// The parser's message, with line and column.
        message: String,
    },
    /// The document's file can't be read.
    #[error("can't be read: {message}; check that the file exists and may be read")]
    Unreadable {
        /// The operating system's message.
        message: String,
    },
    /// A table has an unknown key.
    #[error("unknown key; remove it or use one of: {known}")]
    UnknownKey {
        /// The keys that the table may have, separated by commas.
        known: String,
    },
    /// A required field isn't set.
    #[error("is missing; set it to {expected}")]
    Missing {
        /// The values that the field accepts.
        expected: String,
    },
    /// A value has the wrong type or form.
    #[error("is {found}; set it to {expected}")]
    Malformed {
        /// The value that was found.
        found: String,
        /// The values that the field accepts.
        expected: String,
    },
    /// A value is outside its range.
    #[error("is {found}; set it to a value from {least} to {most}")]
    OutOfRange {
        /// The value that was found.
        found: String,
        /// The least value allowed.
        least: String,
        /// The greatest value allowed.
        most: String,
    },
    /// A list, table or text is empty that must not be.
    #[error("is empty; give at least one {entry}")]
    Empty {
        /// What the list, table or text has to contain.
        entry: &'static str,
    },
    /// A value that must be unique occurs twice.
    #[error("repeats {value}, which {first} has already; use a different one")]
    Duplicate {
        /// The repeated value.
        value: String,
        /// The first place that has the value.
        first: String,
    },
    /// The name inside a document differs from the name under which the document is stored.
    #[error("is {found:?}, but the document is kept as {kept:?}; give both the same name")]
    NameDiffers {
        /// The name in the document.
        found: String,
        /// The name under which the document is stored.
        kept: String,
    },
    /// A document refers to another one that doesn't exist.
    #[error("names the {kind} {name:?}, which doesn't exist; {remedy}")]
    UnknownReference {
        /// The kind of the missing document: `group`, `template` or `tenant`.
        kind: &'static str,
        /// The name of the missing document.
        name: String,
        /// How to correct the reference.
        remedy: String,
    },
    /// A placeholder uses a parameter that the template doesn't declare.
    #[error("uses ${{{parameter}}}, which is not declared; declare it under [parameters]")]
    UndeclaredParameter {
        /// The parameter's name.
        parameter: String,
    },
    /// A text has a `${` without the closing `}`.
    #[error("has a placeholder that is not of the form ${{name}}; correct it")]
    MalformedPlaceholder,
    /// A template declares a parameter but doesn't use it.
    #[error("is declared but not used; use ${{{parameter}}} in the template or remove it")]
    UnusedParameter {
        /// The parameter's name.
        parameter: String,
    },
    /// A placeholder within a longer text uses a parameter that is neither a text nor a number.
    #[error("uses ${{{parameter}}} within a text; let it be the whole value")]
    NotText {
        /// The parameter's name.
        parameter: String,
    },
    /// A tenant doesn't give a parameter that has no default.
    #[error("is missing; give this parameter of template {template:?} {expected}")]
    MissingParameter {
        /// The tenant's template.
        template: String,
        /// The values that the parameter accepts.
        expected: String,
    },
    /// A statement rule can never match, because an earlier rule matches all its statements.
    #[error(
        "never matches, because {earlier} matches first; remove it or move it before {earlier}"
    )]
    ShadowedRule {
        /// Path of the earlier rule.
        earlier: String,
    },
    /// A rule for reads asks to record them in the ledger, which is for writes only.
    #[error("records a read; set `repeat` to \"repeatable\" or `access` to \"write\"")]
    RecordedRead,
    /// A database's connection limit doesn't exceed its slots, the statements that it may run at once.
    #[error(
        "is {connections}, which leaves none beside {slots} slots; \
         allow more connections than slots or fewer slots"
    )]
    TooFewConnections {
        /// The database's connection limit.
        connections: u32,
        /// The statements that the database may run at once.
        slots: u32,
    },
    /// Other nodes can't reach the address.
    #[error("is {found}, which other nodes can't reach; set {remedy}")]
    UnreachableAddress {
        /// The address that was found.
        found: String,
        /// The field to set.
        remedy: &'static str,
    },
}

/// Collects the faults of one or more documents. The readers of nested tables share one list.
#[derive(Debug, Default)]
pub struct FaultList(RefCell<Vec<Fault>>);

impl FaultList {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a fault at `field` of `document`.
    pub fn add(&self, document: &str, field: &str, kind: FaultKind) {
        self.0.borrow_mut().push(Fault {
            document: document.to_owned(),
            field: field.to_owned(),
            kind,
        });
    }

    /// Adds the faults of another list.
    pub fn extend(&self, faults: Vec<Fault>) {
        self.0.borrow_mut().extend(faults);
    }

    /// Number of faults recorded so far.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// True when no fault has been recorded.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The faults, in the order in which they were recorded.
    pub fn into_faults(self) -> Vec<Fault> {
        self.0.into_inner()
    }

    /// `value` if it is present and no fault has been recorded, else the faults.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Vec<Fault>> {
        let faults = self.into_faults();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(faults),
        }
    }
}

/// Remedy for a report of several faults.
pub const MULTIPLE_FAULTS_REMEDY: &str = "mend all of them and check again";

/// All faults of a check as one error with one line for each fault.
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
