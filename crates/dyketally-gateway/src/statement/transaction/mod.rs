//! Transactions: opened at a database with their first statement, and bound to that connection until
//! they end.
//!
//! A [`Transaction`] owns the connection that it is bound to, and its tenant's permit; dropping it rolls
//! it back. `first` finds its database, `bound` sends to that, `commit` ends it.

mod bound;
mod commit;
mod first;

use std::rc::Rc;

use dyketally::policy::Access;
use dyketally::statement::{FailureKind, TransactionState};
use dyketally::time::Timestamp;

use self::bound::Bound;
use crate::database::batch::Reset;
use crate::database::connection::Answer;
use crate::decision::choose::Proof;
use crate::decision::{Operation, Reason, learn};
use crate::quota::Permit;
use crate::statement::Statements;
use crate::statement::request::{Request, Served};

/// A transaction of a session.
pub struct Transaction {
    /// True when it promised not to write.
    pub read_only: bool,
    /// When it was begun.
    pub begun: Timestamp,
    /// True once it can only be rolled back.
    pub failed: bool,
    /// True once it sent a write.
    pub wrote: bool,
    /// True once values were set in it.
    pub set_values: bool,
    /// Leave to run it, once it was obtained.
    pub permit: Option<Permit>,
    bound: Option<Bound>,
}

/// The answer to a statement of a transaction.
pub struct TransactionAnswer {
    /// What the caller is told.
    pub served: Served,
    /// Why, for the log.
    pub reason: Reason,
    /// The state afterwards.
    pub state: TransactionState,
}

impl TransactionAnswer {
    /// The transaction is over.
    fn ended(served: Served, reason: Reason) -> Self {
        Self {
            served,
            reason,
            state: TransactionState::Idle,
        }
    }

    /// A database answered, which leaves the transaction in `state`.
    fn answered(answer: Answer, state: TransactionState) -> Self {
        Self {
            served: Served::from_database(answer),
            reason: Reason::Answered,
            state,
        }
    }
}

impl Transaction {
    /// A transaction that no database knows of yet.
    pub fn new(read_only: bool, begun: Timestamp) -> Self {
        Self {
            read_only,
            begun,
            failed: false,
            wrote: false,
            set_values: false,
            permit: None,
            bound: None,
        }
    }

    /// Runs a read or write in the transaction.
    pub async fn run(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
        access: Access,
    ) -> TransactionAnswer {
        let served = match self.bound.is_some() {
            true => self.run_bound(statements, request).await,
            false => self.run_first(statements, request).await,
        };
        self.wrote |= access == Access::Write;
        match served {
            Ok(answer) => self.settle(statements, request, answer),
            Err(reason) => self.give_up(statements, request, reason),
        }
    }

    /// Drops the transaction and its writes, without waiting for the database.
    pub fn roll_back(&mut self) {
        self.drop_bound();
    }

    fn drop_bound(&mut self) {
        let Some(bound) = self.bound.take() else {
            return;
        };
        bound.roll_back(match self.set_values {
            true => Reset::Always,
            false => Reset::Never,
        });
    }

    /// Values that were set in a transaction are uncertain when it fails.
    fn reset_after_failure(&self) -> Reset {
        match self.set_values {
            true => Reset::AfterFailure,
            false => Reset::Never,
        }
    }

    fn settle(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
        answer: Answer,
    ) -> TransactionAnswer {
        match (&answer.end, answer.state) {
            (Ok(_), TransactionState::Open) => {
                TransactionAnswer::answered(answer, TransactionState::Open)
            }
            (Err(failure), _) if failure.kind.not_run() => {
                let kind = failure.kind;
                self.learn_from_refusal(statements, kind);
                self.give_up(statements, request, Reason::RefusedInTransaction(kind))
            }
            (Err(_), _) => {
                self.failed = true;
                self.drop_bound();
                TransactionAnswer::answered(answer, TransactionState::Failed)
            }
            (Ok(_), _) => self.give_up(statements, request, Reason::TransactionEnded),
        }
    }

    /// Applies what a refusal within the transaction tells of its database.
    fn learn_from_refusal(&self, statements: &Rc<Statements>, kind: FailureKind) {
        if let Some(bound) = &self.bound
            && bound.leads
        {
            let operation = Operation::FirstOfTransaction;
            let lesson = learn::from_refusal(operation, Proof::Leads, kind);
            statements.learn(&bound.target, lesson);
        }
    }

    fn give_up(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
        reason: Reason,
    ) -> TransactionAnswer {
        self.failed = true;
        self.drop_bound();
        let served = Served::rolled_back();
        request.log(statements, &served, reason);
        TransactionAnswer {
            served,
            reason,
            state: TransactionState::Failed,
        }
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.drop_bound();
    }
}
