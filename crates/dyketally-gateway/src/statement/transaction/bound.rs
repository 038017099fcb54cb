//! The connection that a transaction is bound to, and the statements sent on it.

use std::rc::Rc;

use dyketally::statement::FailureKind;
use tokio::time::Instant;
use tokio::time::error::Elapsed;

use super::Transaction;
use crate::database::batch::{Batch, Reset};
use crate::database::connection::Answer;
use crate::database::target::Target;
use crate::decision::Reason;
use crate::decision::retry::{self, RETRY_PAUSE};
use crate::fleet::connection::DatabaseConnection;
use crate::statement::Statements;
use crate::statement::request::{Request, Stage};

/// The database of a transaction, and the connection on which the transaction is open.
pub(super) struct BoundConnection {
    pub(super) checkout: DatabaseConnection,
    pub(super) target: Target,
    /// True when the transaction was opened with a `BEGIN` that only a leader accepts.
    pub(super) leads: bool,
}

impl BoundConnection {
    /// Rolls the transaction back at the database, in the background.
    pub(super) fn roll_back(self, reset: Reset) {
        self.checkout.roll_back(reset);
    }
}

impl Transaction {
    /// Runs a statement at the transaction's database; on failure tells why there is no answer.
    pub(super) async fn run_bound(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> Result<Answer, Reason> {
        let reason = match self.send_until_run(statements, request).await {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => Reason::ConnectionBroke,
            Err(_) => Reason::DatabaseSilent,
        };
        self.bound = None;
        Err(reason)
    }

    /// Sends a statement to the transaction's database, and retries it while [`retry::retries_in_transaction`]
    /// holds. Returns `None` when the connection broke.
    pub(super) async fn send_until_run(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> Result<Option<Answer>, Elapsed> {
        loop {
            let sending = self.send(statements, request);
            let answer = tokio::time::timeout_at(request.deadline, sending).await?;
            let Some(answer) = answer else {
                return Ok(None);
            };
            let refusal = refusal_of(&answer);
            let time_left = request.latest_start().duration_since(Instant::now());
            if !retry::retries_in_transaction(refusal, answer.state, time_left) {
                return Ok(Some(answer));
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn send(&mut self, statements: &Rc<Statements>, request: &Request) -> Option<Answer> {
        let reset = self.reset_after_failure();
        let bound = self.bound.as_mut()?;
        request.count_attempt(statements);
        let mut batch = Batch::for_session(request.context(), vec![request.step(None)]);
        batch.reset = reset;
        let sent = statements.cx.now();
        let (checkout, target) = (&mut bound.checkout, &bound.target);
        let exchange = request.exchange(statements, checkout, target, &batch, Stage::Further);
        let (mut answers, dispatch) = exchange.await.ok()?;
        let answer = answers.pop()?;
        if answer.was_rejected() {
            dispatch.rejected();
        }
        if bound.leads
            && answer.end.is_ok()
            && statements
                .leadership
                .checks
                .is_certain_leader(&bound.target)
        {
            statements.databases.record_primary_position(
                &bound.target.group,
                answer.position,
                sent,
            );
        }
        Some(answer)
    }
}

fn refusal_of(answer: &Answer) -> Option<FailureKind> {
    answer.end.as_ref().err().map(|failure| failure.kind)
}
