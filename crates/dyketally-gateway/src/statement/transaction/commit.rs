//! Commits a transaction, and decides what the caller receives if the answer to the `COMMIT` is lost.

use std::rc::Rc;

use dyketally::statement::{FailureKind, TransactionState};
use dyketally::time::Timestamp;

use super::{Transaction, TransactionAnswer};
use crate::database::connection::{Answer, Disconnected};
use crate::decision::Reason;
use crate::decision::refuse::{self, CommitError, LostCommit};
use crate::statement::Statements;
use crate::statement::request::{Request, Response};

impl Transaction {
    /// Commits the transaction.
    pub async fn commit(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> TransactionAnswer {
        if self.failed {
            let message = "the transaction had failed before the commit and is rolled back";
            let response = Response::failed(FailureKind::Aborted, message);
            return TransactionAnswer::ended(response, Reason::TransactionFailed);
        }
        let sent = statements.cx.now();
        if self.bound.is_none() {
            let Ok(answer) = self.run_first(statements, request).await else {
                return self.end_rolled_back(statements, request);
            };
            return self.committed(statements, request, answer, sent).await;
        }
        match self.send_until_run(statements, request).await {
            Ok(Some(answer)) => self.committed(statements, request, answer, sent).await,
            Ok(None) => self.lost(statements, request, LostCommit::ConnectionBroke),
            Err(_) => self.lost(statements, request, LostCommit::DeadlinePassed),
        }
    }

    async fn committed(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
        answer: Answer,
        sent: Timestamp,
    ) -> TransactionAnswer {
        if self.wrote && answer.end.is_ok() && !self.is_upheld(statements, sent).await {
            self.bound = None;
            let response = Response::in_doubt(&Disconnected::new_primary().reason);
            request.record_outcome(statements, &response, Reason::DatabaseReplaced);
            return TransactionAnswer::ended(response, Reason::DatabaseReplaced);
        }
        if answer.state != TransactionState::Idle {
            self.drop_bound();
        } else if let Some(bound) = self.bound.take() {
            bound.checkout.give_back();
        }
        TransactionAnswer::answered(answer, TransactionState::Idle)
    }

    /// False when the transaction's database led the group as the transaction was opened, and may not have led
    /// it without interruption since `sent`.
    async fn is_upheld(&self, statements: &Rc<Statements>, sent: Timestamp) -> bool {
        match &self.bound {
            Some(bound) if bound.leads => {
                let checks = &statements.leadership.checks;
                checks.still_leads_since(&bound.target, sent).await
            }
            _ => true,
        }
    }

    /// Ends a transaction whose commit has no answer.
    fn lost(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
        lost: LostCommit,
    ) -> TransactionAnswer {
        let may_have_run = request.dispatches.proven_not_run().is_none();
        let response = match refuse::commit(lost, self.wrote, may_have_run) {
            CommitError::RolledBack => return self.end_rolled_back(statements, request),
            CommitError::InDoubt => Response::in_doubt("the connection broke during the commit"),
            CommitError::TimedOut => Response::timed_out(),
        };
        self.bound = None;
        let reason = match lost {
            LostCommit::ConnectionBroke => Reason::ConnectionBroke,
            LostCommit::DeadlinePassed => Reason::DatabaseSilent,
        };
        TransactionAnswer::ended(response, reason)
    }

    /// Ends a transaction that was lost and can't have had any effect.
    fn end_rolled_back(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> TransactionAnswer {
        self.drop_bound();
        let response = Response::rolled_back();
        request.record_outcome(statements, &response, Reason::LostBeforeCommit);
        TransactionAnswer::ended(response, Reason::LostBeforeCommit)
    }
}
