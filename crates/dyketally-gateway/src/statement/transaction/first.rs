//! The first statement of a transaction: finds the transaction's database and opens the transaction there.
//!
//! A transaction has no effect before it commits, so a first statement whose answer was lost is run again
//! in a new transaction.

use std::rc::Rc;

use dyketally::freshness::FreshnessNeed;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use super::Transaction;
use super::bound::BoundConnection;
use crate::database::batch::{Batch, Flow, Step};
use crate::database::connection::Answer;
use crate::database::connection_request::ConnectionUse;
use crate::database::target::Target;
use crate::decision::choose::FreshnessCheck;
use crate::decision::give_up::{self, Time};
use crate::decision::retry::RETRY_PAUSE;
use crate::decision::{Operation, Reason, learn};
use crate::ports::OwnStatement;
use crate::statement::Statements;
use crate::statement::attempt::AttemptOutcome;
use crate::statement::choose::ChosenDatabase;
use crate::statement::ending::LiveInputs;
use crate::statement::request::{Request, Stage};

const OPERATION: Operation = Operation::FirstOfTransaction;

impl Transaction {
    /// Finds a database for the transaction and runs its first statement there; on failure tells why the
    /// transaction is given up.
    pub(super) async fn run_first(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> Result<Answer, Reason> {
        let mut tried = Vec::new();
        loop {
            let first = self.try_first(statements, request, &mut tried);
            let attempt = match tokio::time::timeout_at(request.deadline, first).await {
                Ok(AttemptOutcome::Answered(answer)) => return Ok(answer),
                Ok(AttemptOutcome::NotRun(kind)) => give_up::UnansweredAttempt::NotRun(kind),
                Ok(AttemptOutcome::Lost(_)) => give_up::UnansweredAttempt::Lost,
                Err(_) => {
                    self.bound = None;
                    return Err(Reason::DeadlinePassed);
                }
            };
            self.drop_bound();
            if let Some(reason) = self.reason_to_end_first(statements, request, attempt, &tried) {
                return Err(reason);
            }
            statements
                .cx
                .changes
                .next(Instant::now() + RETRY_PAUSE)
                .await;
        }
    }

    /// Why the transaction is given up after an attempt; `None` when it goes on.
    fn reason_to_end_first(
        &self,
        statements: &Rc<Statements>,
        request: &Request,
        attempt: give_up::UnansweredAttempt,
        tried: &[DatabaseName],
    ) -> Option<Reason> {
        let inputs = LiveInputs {
            statements,
            request,
            need: self.need(request),
            tried,
            running: 0,
        };
        let reason = inputs.reason_to_give_up(OPERATION, attempt);
        reason.or_else(|| {
            let time = Time {
                now: Instant::now(),
                deadline: request.deadline,
            };
            give_up::out_of_time(OPERATION, time, 0)
        })
    }

    async fn try_first(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
        tried: &mut Vec<DatabaseName>,
    ) -> AttemptOutcome {
        let choosing = statements.choose(request, OPERATION, self.need(request), tried);
        let Some(ChosenDatabase { target, check }) = choosing.await else {
            return AttemptOutcome::NotRun(FailureKind::Busy);
        };
        let checkout = statements.checkout(request, &target, ConnectionUse::Transaction);
        let mut checkout = match checkout.await {
            Ok(checkout) => checkout,
            Err(kind) => return AttemptOutcome::NotRun(kind),
        };
        request.count_attempt(statements);
        let batch = self.opening_batch(request, check);
        let sent = statements.cx.now();
        let exchange = request.exchange(statements, &mut checkout, &target, &batch, Stage::First);
        let (answers, dispatch) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => {
                return statements.without_answer(OPERATION, (&target, check), unanswered);
            }
        };
        let mut answers = answers.into_iter();
        let Some(begun) = answers.next() else {
            return AttemptOutcome::without_all_answers();
        };
        if let Err(failure) = &begun.end {
            dispatch.rejected();
            apply_refusal(statements, &target, check, failure.kind);
            if begun.state == TransactionState::Idle {
                checkout.give_back();
            }
            return AttemptOutcome::NotRun(failure.kind);
        }
        statements.apply_feedback(&target, learn::from_answer(OPERATION, check, target.leads));
        let leads = check == FreshnessCheck::Leads;
        if leads
            && !statements
                .leadership
                .checks
                .still_leads_since(&target, sent)
                .await
        {
            return AttemptOutcome::NotRun(FailureKind::ReadOnly);
        }
        if leads {
            statements
                .databases
                .record_primary_position(&target.group, begun.position, sent);
        }
        self.bound = Some(BoundConnection {
            checkout,
            target: target.clone(),
            leads,
        });
        let Some(answer) = answers.next() else {
            return AttemptOutcome::without_all_answers();
        };
        if leads && answer.end.is_ok() && statements.leadership.checks.is_certain_leader(&target) {
            statements
                .databases
                .record_primary_position(&target.group, answer.position, sent);
        }
        match &answer.end {
            Err(failure) if failure.kind.not_run() => {
                dispatch.rejected();
                apply_refusal(statements, &target, check, failure.kind);
                AttemptOutcome::NotRun(failure.kind)
            }
            _ => AttemptOutcome::Answered(answer),
        }
    }

    /// The batch that opens the transaction and runs its first statement.
    fn opening_batch(&self, request: &Request, check: FreshnessCheck) -> Batch {
        let begin = match check {
            FreshnessCheck::Holds(position) => OwnStatement::BeginReadOnly {
                after: Some(position),
            },
            FreshnessCheck::Leads => OwnStatement::Begin,
        };
        let steps = vec![Step::Own(begin), request.step(None)];
        let mut batch = Batch::for_session(request.context(), steps);
        batch.flow = Flow::UntilFailure;
        batch.reset = self.reset_after_failure();
        batch
    }

    /// The commits that the transaction has to see; `None` when it needs the primary.
    fn need(&self, request: &Request) -> Option<FreshnessNeed> {
        let consistency = request.route.consistency;
        let need = consistency.need(self.begun, request.connected, request.own_commit);
        need.filter(|_| self.read_only)
    }
}

fn apply_refusal(
    statements: &Rc<Statements>,
    target: &Target,
    check: FreshnessCheck,
    kind: FailureKind,
) {
    statements.apply_feedback(target, learn::from_refusal(OPERATION, check, kind));
}
