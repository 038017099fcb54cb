//! Transactions: opened at a database with their first statement, and bound to that connection until they
//! end.
//!
//! A [`Transaction`] owns the connection that it is bound to and its tenant's permit; dropping it rolls it
//! back. `first` finds its database, `bound` sends statements to it, `commit` commits it.

mod bound;
mod commit;
mod first;

use std::rc::Rc;

use dyketally::policy::Access;
use dyketally::statement::{FailureKind, TransactionState};
use dyketally::time::Timestamp;

use self::bound::BoundConnection;
use crate::database::batch::Reset;
use crate::database::connection::Answer;
use crate::decision::choose::FreshnessCheck;
use crate::decision::{Operation, Reason, learn};
use crate::quota::Permit;
use crate::statement::Statements;
use crate::statement::request::{Request, Response};

/// A transaction of a session.
pub struct Transaction {
    /// True when it was begun as read-only.
    pub read_only: bool,
    /// When it was begun.
    pub begun: Timestamp,
    /// True once it can only be rolled back.
    pub failed: bool,
    /// True once it has sent a write.
    pub wrote: bool,
    /// True once values were set in it.
    pub set_values: bool,
    /// Permit to run it, once it was obtained.
    pub permit: Option<Permit>,
    bound: Option<BoundConnection>,
}

/// The answer to a statement of a transaction.
pub struct TransactionAnswer {
    /// What the caller receives.
    pub response: Response,
    /// Why the statement ended so, for the log.
    pub reason: Reason,
    /// State of the transaction after the statement.
    pub state: TransactionState,
}

impl TransactionAnswer {
    /// The transaction has ended.
    fn ended(response: Response, reason: Reason) -> Self {
        Self {
            response,
            reason,
            state: TransactionState::Idle,
        }
    }

    /// A database answered, and the transaction is in `state` now.
    fn answered(answer: Answer, state: TransactionState) -> Self {
        Self {
            response: Response::from_database(answer),
            reason: Reason::Answered,
            state,
        }
    }
}

impl Transaction {
    /// A transaction that isn't open at any database yet.
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
        let response = match self.bound.is_some() {
            true => self.run_bound(statements, request).await,
            false => self.run_first(statements, request).await,
        };
        self.wrote |= access == Access::Write;
        match response {
            Ok(answer) => self.apply_answer(statements, request, answer),
            Err(reason) => self.give_up(statements, request, reason),
        }
    }

    /// Rolls the transaction back, without waiting for the database.
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

    /// When the connection is reset: values that were set in a transaction are uncertain once it fails.
    fn reset_after_failure(&self) -> Reset {
        match self.set_values {
            true => Reset::AfterFailure,
            false => Reset::Never,
        }
    }

    fn apply_answer(
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
                self.apply_refusal(statements, kind);
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

    /// Records what a refusal within the transaction shows about its database.
    fn apply_refusal(&self, statements: &Rc<Statements>, kind: FailureKind) {
        if let Some(bound) = &self.bound
            && bound.leads
        {
            let operation = Operation::FirstOfTransaction;
            let feedback = learn::from_refusal(operation, FreshnessCheck::Leads, kind);
            statements.apply_feedback(&bound.target, feedback);
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
        let response = Response::rolled_back();
        request.record_outcome(statements, &response, reason);
        TransactionAnswer {
            response,
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
