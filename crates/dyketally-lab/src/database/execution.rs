//! Runs one statement within a transaction.

use super::error::SqlError;
use super::statement::{Operand, Projection, Statement, StatusColumn, TableColumn, ValueChange};
use super::store::{RowChange, RowKey, Store};
use super::transaction::Transaction;

/// Values bound to a statement's parameters; `None` is null.
pub type Parameters = [Option<String>];

/// Type of a result column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnType {
    /// Text.
    Text,
    /// 64-bit integer.
    Integer,
    /// The empty result of a function.
    Void,
}

/// One column of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultColumn {
    /// The column's name.
    pub name: &'static str,
    /// The column's type.
    pub column_type: ColumnType,
}

/// One value of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cell {
    /// Text or null.
    Text(Option<String>),
    /// An integer.
    Integer(i64),
}

/// What a statement changed, as its command tag names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCommand {
    /// Rows were added.
    Insert,
    /// Rows were changed.
    Update,
    /// Rows were removed.
    Delete,
}

/// The result of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementResult {
    /// Rows in the order of the statement's columns.
    Rows(Vec<Vec<Cell>>),
    /// Rows were changed.
    Changed {
        /// How.
        command: ChangeCommand,
        /// How many.
        rows: usize,
    },
    /// A transaction was started.
    Began,
    /// A transaction was committed.
    Committed,
    /// A transaction was rolled back.
    RolledBack,
}

const fn text(name: &'static str) -> ResultColumn {
    ResultColumn {
        name,
        column_type: ColumnType::Text,
    }
}

impl Statement {
    /// The columns that the statement yields; empty when it yields no rows.
    pub fn columns(&self) -> Vec<ResultColumn> {
        match self {
            Self::Status(columns) => columns.iter().map(|column| text(column.name())).collect(),
            Self::Select { projection, .. } => projection.columns(),
            Self::Sleep(_) => vec![ResultColumn {
                name: "pg_sleep",
                column_type: ColumnType::Void,
            }],
            _ => Vec::new(),
        }
    }

    /// True when the statement changes rows.
    pub fn writes(&self) -> bool {
        matches!(
            self,
            Self::Insert { .. } | Self::Update { .. } | Self::Delete { .. }
        )
    }
}

impl StatusColumn {
    fn name(self) -> &'static str {
        match self {
            Self::Role => "role",
            Self::Term => "term",
            Self::LogTerm => "log_term",
            Self::LogOffset => "log_offset",
        }
    }
}

impl Projection {
    fn columns(&self) -> Vec<ResultColumn> {
        match self {
            Self::Count => vec![ResultColumn {
                name: "count",
                column_type: ColumnType::Integer,
            }],
            Self::Columns(columns) => {
                let names = columns.iter().map(|column| match column {
                    TableColumn::Key => text("key"),
                    TableColumn::Value => text("value"),
                });
                names.collect()
            }
        }
    }

    fn rows(&self, found: Vec<(String, Option<String>)>) -> Vec<Vec<Cell>> {
        match self {
            Self::Count => {
                let count = i64::try_from(found.len()).unwrap_or(i64::MAX);
                vec![vec![Cell::Integer(count)]]
            }
            Self::Columns(columns) => {
                let rows = found.into_iter();
                rows.map(|(key, value)| project(columns, &key, &value))
                    .collect()
            }
        }
    }
}

fn project(columns: &[TableColumn], key: &str, value: &Option<String>) -> Vec<Cell> {
    let cells = columns.iter().map(|column| match column {
        TableColumn::Key => Cell::Text(Some(key.to_owned())),
        TableColumn::Value => Cell::Text(value.clone()),
    });
    cells.collect()
}

/// Runs a statement that reads or changes rows; writes stay in `transaction`.
///
/// # Errors
/// When the statement fails; the transaction is then to be rolled back.
pub fn run(
    store: &Store,
    transaction: &mut Transaction,
    statement: &Statement,
    parameters: &Parameters,
) -> Result<StatementResult, SqlError> {
    let mut execution = Execution {
        store,
        transaction,
        parameters,
    };
    match statement {
        Statement::Select {
            table,
            projection,
            key,
        } => execution.select(table, projection, key.as_ref()),
        Statement::Insert {
            table,
            rows,
            skip_existing,
        } => execution.insert(table, rows, *skip_existing),
        Statement::Update { table, key, change } => execution.update(table, key, change),
        Statement::Delete { table, key } => execution.delete(table, key),
        Statement::Sleep(_) => Ok(StatementResult::Rows(vec![vec![Cell::Text(Some(
            String::new(),
        ))]])),
        Statement::Begin | Statement::Commit | Statement::Rollback | Statement::Status(_) => Err(
            SqlError::Unsupported(String::from("a session statement among row statements")),
        ),
    }
}

struct Execution<'a> {
    store: &'a Store,
    transaction: &'a mut Transaction,
    parameters: &'a Parameters,
}

impl Execution<'_> {
    fn select(
        &self,
        table: &str,
        projection: &Projection,
        key: Option<&Operand>,
    ) -> Result<StatementResult, SqlError> {
        let found = match key {
            None => {
                let rows = self.transaction.table(self.store, table);
                rows.into_iter().collect()
            }
            Some(operand) => self.find(table, operand)?,
        };
        Ok(StatementResult::Rows(projection.rows(found)))
    }

    fn find(&self, table: &str, key: &Operand) -> Result<Vec<(String, Option<String>)>, SqlError> {
        let Some(row) = self.row_key(table, key)? else {
            return Ok(Vec::new());
        };
        let value = self.transaction.value(self.store, &row);
        Ok(value.map(|value| (row.key, value)).into_iter().collect())
    }

    fn insert(
        &mut self,
        table: &str,
        rows: &[(Operand, Operand)],
        skip_existing: bool,
    ) -> Result<StatementResult, SqlError> {
        let mut inserted = 0;
        for (key, value) in rows {
            let row = self.row_key(table, key)?.ok_or(SqlError::NullKey)?;
            let value = self.operand(value)?;
            let exists = self.transaction.value(self.store, &row).is_some();
            if exists && skip_existing {
                continue;
            }
            if exists {
                return Err(SqlError::DuplicateKey {
                    table: row.table,
                    key: row.key,
                });
            }
            self.put(row, RowChange::Put(value));
            inserted += 1;
        }
        Ok(changed(ChangeCommand::Insert, inserted))
    }

    fn update(
        &mut self,
        table: &str,
        key: &Operand,
        change: &ValueChange,
    ) -> Result<StatementResult, SqlError> {
        let row = self.row_key(table, key)?;
        let found = row.and_then(|row| {
            let value = self.transaction.value(self.store, &row)?;
            Some((row, value))
        });
        let Some((row, old_value)) = found else {
            return Ok(changed(ChangeCommand::Update, 0));
        };
        let new_value = match change {
            ValueChange::Set(operand) => self.operand(operand)?,
            ValueChange::Add(operand) => add(old_value, self.operand(operand)?)?,
        };
        self.put(row, RowChange::Put(new_value));
        Ok(changed(ChangeCommand::Update, 1))
    }

    fn delete(&mut self, table: &str, key: &Operand) -> Result<StatementResult, SqlError> {
        let row = self.row_key(table, key)?;
        let found = row.filter(|row| self.transaction.value(self.store, row).is_some());
        let Some(row) = found else {
            return Ok(changed(ChangeCommand::Delete, 0));
        };
        self.put(row, RowChange::Delete);
        Ok(changed(ChangeCommand::Delete, 1))
    }

    fn put(&mut self, row: RowKey, change: RowChange) {
        self.transaction.write(self.store, row, change);
    }

    fn row_key(&self, table: &str, key: &Operand) -> Result<Option<RowKey>, SqlError> {
        let key = self.operand(key)?;
        Ok(key.map(|key| RowKey {
            table: table.to_owned(),
            key,
        }))
    }

    fn operand(&self, operand: &Operand) -> Result<Option<String>, SqlError> {
        match operand {
            Operand::Constant(value) => Ok(value.clone()),
            Operand::Parameter(number) => {
                let bound = self.parameters.get(number - 1);
                bound.cloned().ok_or(SqlError::MissingParameter(*number))
            }
        }
    }
}

fn changed(command: ChangeCommand, rows: usize) -> StatementResult {
    StatementResult::Changed { command, rows }
}

fn add(left: Option<String>, right: Option<String>) -> Result<Option<String>, SqlError> {
    let (Some(left), Some(right)) = (left, right) else {
        return Ok(None);
    };
    let sum = integer(&left)?
        .checked_add(integer(&right)?)
        .ok_or_else(|| SqlError::InvalidInput(format!("{left} + {right} is out of range")))?;
    Ok(Some(sum.to_string()))
}

fn integer(text: &str) -> Result<i64, SqlError> {
    let trimmed = text.trim();
    trimmed
        .parse()
        .map_err(|_| SqlError::InvalidInput(format!("{text:?} is not an integer")))
}
