//! The end of a transaction whose writes are kept, and what its caller receives if the `COMMIT` is lost.

use std::rc::Rc;

use dyketally::statement::{FailureKind, TransactionState};
use dyketally::time::Timestamp;

use super::{Transaction, TransactionAnswer};
use crate::database::connection::{Answer, Broken};
use crate::decision::Reason;
use crate::decision::refuse::{self, LostCommit, ToldOfCommit};
use crate::statement::Statements;
use crate::statement::request::{Request, Served};

impl Transaction {
    /// Ends the transaction and keeps its writes.
    pub async fn commit(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> TransactionAnswer {
        if self.failed {
            let message = "the transaction had failed and is rolled back";
            let served = Served::failed(FailureKind::Aborted, message);
            return TransactionAnswer::ended(served, Reason::TransactionFailed);
        }
        let sent = statements.cx.now();
        if self.bound.is_none() {
            let Ok(answer) = self.run_first(statements, request).await else {
                return self.give_up_unkept(statements, request);
            };
            return self.committed(statements, request, answer, sent).await;
        }
        match self.send_until_run(statements, request).await {
            Ok(Some(answer)) => self.committed(statements, request, answer, sent).await,
            Ok(None) => self.lost(statements, request, LostCommit::Broke),
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
            let served = Served::in_doubt(&Broken::replaced().reason);
            request.log(statements, &served, Reason::DatabaseReplaced);
            return TransactionAnswer::ended(served, Reason::DatabaseReplaced);
        }
        if answer.state != TransactionState::Idle {
            self.drop_bound();
        } else if let Some(bound) = self.bound.take() {
            bound.checkout.give_back();
        }
        TransactionAnswer::answered(answer, TransactionState::Idle)
    }

    /// True unless the transaction runs at a database that led the group and no longer does, or not without
    /// a break since `sent`.
    async fn is_upheld(&self, statements: &Rc<Statements>, sent: Timestamp) -> bool {
        match &self.bound {
            Some(bound) if bound.leads => {
                let checks = &statements.leadership.checks;
                checks.is_upheld(&bound.target, sent).await
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
        let served = match refuse::commit(lost, self.wrote, may_have_run) {
            ToldOfCommit::RolledBack => return self.give_up_unkept(statements, request),
            ToldOfCommit::InDoubt => Served::in_doubt("the connection broke during the commit"),
            ToldOfCommit::TimedOut => Served::timed_out(),
        };
        self.bound = None;
        let reason = match lost {
            LostCommit::Broke => Reason::ConnectionBroke,
            LostCommit::DeadlinePassed => Reason::DatabaseSilent,
        };
        TransactionAnswer::ended(served, reason)
    }

    /// Ends a transaction that is lost, and of which nothing can have been kept.
    fn give_up_unkept(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> TransactionAnswer {
        self.drop_bound();
        let served = Served::rolled_back();
        request.log(statements, &served, Reason::LostBeforeCommit);
        TransactionAnswer::ended(served, Reason::LostBeforeCommit)
    }
}
