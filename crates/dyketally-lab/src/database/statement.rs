//! The statements that the stand-in knows.

use std::time::Duration;

/// The table that the status statement reads.
pub const STATUS_TABLE: &str = "dyketally_status";

/// A value in a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operand {
    /// A bound parameter, counted from 1.
    Parameter(usize),
    /// A constant; `None` is null.
    Constant(Option<String>),
}

/// A column of a user's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableColumn {
    /// The primary key.
    Key,
    /// The value.
    Value,
}

/// A column of the status table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusColumn {
    /// `primary` or `replica`.
    Role,
    /// The highest term heard of or voted in.
    Term,
    /// Term of the last entry of the log.
    LogTerm,
    /// Number of entries of the log.
    LogOffset,
}

/// What a select yields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Projection {
    /// These columns of each row.
    Columns(Vec<TableColumn>),
    /// The number of rows.
    Count,
}

/// What an update does to the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueChange {
    /// Replaces it.
    Set(Operand),
    /// Adds to it; both are integers in text form.
    Add(Operand),
}

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin,
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Holds the slot for a while.
    Sleep(Duration),
    /// Reads role, term and log position.
    Status(Vec<StatusColumn>),
    /// Reads rows of a table.
    Select {
        /// The table.
        table: String,
        /// What to yield.
        projection: Projection,
        /// Only the row with this key.
        key: Option<Operand>,
    },
    /// Adds rows.
    Insert {
        /// The table.
        table: String,
        /// Key and value of each row.
        rows: Vec<(Operand, Operand)>,
        /// Leaves existing rows alone instead of failing.
        skip_existing: bool,
    },
    /// Changes one row.
    Update {
        /// The table.
        table: String,
        /// The row.
        key: Operand,
        /// What becomes of its value.
        change: ValueChange,
    },
    /// Removes one row.
    Delete {
        /// The table.
        table: String,
        /// The row.
        key: Operand,
    },
}

impl Statement {
    /// Number of parameters that must be bound.
    pub fn parameter_count(&self) -> usize {
        let highest = |operands: &[&Operand]| {
            let numbers = operands.iter().map(|operand| match operand {
                Operand::Parameter(number) => *number,
                Operand::Constant(_) => 0,
            });
            numbers.max().unwrap_or(0)
        };
        match self {
            Self::Select { key: Some(key), .. } | Self::Delete { key, .. } => highest(&[key]),
            Self::Insert { rows, .. } => {
                let operands: Vec<&Operand> =
                    rows.iter().flat_map(|(key, value)| [key, value]).collect();
                highest(&operands)
            }
            Self::Update { key, change, .. } => {
                let (ValueChange::Set(value) | ValueChange::Add(value)) = change;
                highest(&[key, value])
            }
            _ => 0,
        }
    }
}
