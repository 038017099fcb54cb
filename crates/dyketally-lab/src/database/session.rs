//! One client's session: its transaction, and how its statements run.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use dyketally::group::{MemberStatus, Role};

use super::error::SqlError;
use super::execution::{Cell, Parameters, StatementResult, run};
use super::server::Database;
use super::statement::{Statement, StatusColumn};
use super::sync::lock;
use super::transaction::Transaction;

/// One client's session.
#[derive(Debug)]
pub struct Session {
    database: Arc<Database>,
    transaction: Mutex<Option<Transaction>>,
}

impl Session {
    /// A session outside of a transaction.
    pub fn new(database: Arc<Database>) -> Self {
        Self {
            database,
            transaction: Mutex::new(None),
        }
    }

    /// Runs a statement. `aborted` says that an earlier statement of the transaction failed.
    ///
    /// Dropping the future before it is ready leaves no trace of the statement.
    ///
    /// # Errors
    /// When the statement fails. A failed commit has ended the transaction.
    pub async fn execute(
        &self,
        statement: &Statement,
        parameters: &Parameters,
        aborted: bool,
    ) -> Result<StatementResult, SqlError> {
        if aborted && !matches!(statement, Statement::Commit | Statement::Rollback) {
            return Err(SqlError::TransactionAborted);
        }
        if let Statement::Status(columns) = statement {
            return Ok(status_rows(columns, &self.database.status()));
        }
        let mut slot = self.database.slots.take().await;
        let extra = match statement {
            Statement::Sleep(duration) => *duration,
            _ => Duration::ZERO,
        };
        slot.work(extra).await;
        self.take_effect(statement, parameters, aborted)
    }

    fn take_effect(
        &self,
        statement: &Statement,
        parameters: &Parameters,
        aborted: bool,
    ) -> Result<StatementResult, SqlError> {
        let mut open = lock(&self.transaction);
        match statement {
            Statement::Begin => {
                open.get_or_insert_default();
                Ok(StatementResult::Began)
            }
            Statement::Rollback => {
                *open = None;
                Ok(StatementResult::RolledBack)
            }
            Statement::Commit if aborted => {
                *open = None;
                Ok(StatementResult::RolledBack)
            }
            Statement::Commit => {
                let transaction = open.take().unwrap_or_default();
                self.database
                    .with_member(|member, _| self.database.commit(member, transaction))?;
                Ok(StatementResult::Committed)
            }
            _ => match open.as_mut() {
                Some(transaction) => self.run_within(transaction, statement, parameters),
                None => self.run_alone(statement, parameters),
            },
        }
    }

    fn run_within(
        &self,
        transaction: &mut Transaction,
        statement: &Statement,
        parameters: &Parameters,
    ) -> Result<StatementResult, SqlError> {
        self.database.with_member(|member, _| {
            check_writable(member.role(), statement)?;
            run(member.store(), transaction, statement, parameters)
        })
    }

    fn run_alone(
        &self,
        statement: &Statement,
        parameters: &Parameters,
    ) -> Result<StatementResult, SqlError> {
        self.database.with_member(|member, _| {
            check_writable(member.role(), statement)?;
            let mut transaction = Transaction::default();
            let result = run(member.store(), &mut transaction, statement, parameters)?;
            self.database.commit(member, transaction)?;
            Ok(result)
        })
    }
}

fn check_writable(role: Role, statement: &Statement) -> Result<(), SqlError> {
    if statement.writes() && role != Role::Primary {
        return Err(SqlError::ReadOnly);
    }
    Ok(())
}

fn status_rows(columns: &[StatusColumn], status: &MemberStatus) -> StatementResult {
    let cells = columns.iter().map(|column| {
        let text = match column {
            StatusColumn::Role => role_name(status.role).to_owned(),
            StatusColumn::Term => status.term.0.to_string(),
            StatusColumn::LogTerm => status.log.term.0.to_string(),
            StatusColumn::LogOffset => status.log.offset.to_string(),
        };
        Cell::Text(Some(text))
    });
    StatementResult::Rows(vec![cells.collect()])
}

/// The role as the status statement names it.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Primary => "primary",
        Role::Replica => "replica",
    }
}
