//! The first statement of a transaction: finds the transaction's database and opens it there.
//!
//! Nothing of a transaction is kept anywhere before it commits, so a first statement that was lost is
//! simply run in a new transaction.

use std::rc::Rc;

use dyketally::freshness::FreshnessNeed;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use super::Transaction;
use super::bound::Bound;
use crate::database::batch::{Batch, Flow, Step};
use crate::database::claim::Work;
use crate::database::connection::Answer;
use crate::database::target::Target;
use crate::decision::choose::Proof;
use crate::decision::give_up::{self, Time};
use crate::decision::retry::RETRY_PAUSE;
use crate::decision::{Operation, Reason, learn};
use crate::ports::OwnStatement;
use crate::statement::Statements;
use crate::statement::attempt::Attempt;
use crate::statement::choose::Choice;
use crate::statement::ending::Known;
use crate::statement::request::{Request, Stage};

const OPERATION: Operation = Operation::FirstOfTransaction;

impl Transaction {
    /// Finds a database for the transaction and runs its first statement there, or tells why it is given
    /// up.
    pub(super) async fn run_first(
        &mut self,
        statements: &Rc<Statements>,
        request: &Request,
    ) -> Result<Answer, Reason> {
        let mut tried = Vec::new();
        loop {
            let first = self.try_first(statements, request, &mut tried);
            let attempt = match tokio::time::timeout_at(request.deadline, first).await {
                Ok(Attempt::Answered(answer)) => return Ok(answer),
                Ok(Attempt::NotRun(kind)) => give_up::Attempt::NotRun(kind),
                Ok(Attempt::Lost(_)) => give_up::Attempt::Lost,
                Err(_) => {
                    self.bound = None;
                    return Err(Reason::DeadlinePassed);
                }
            };
            self.drop_bound();
            if let Some(reason) = self.ends_first(statements, request, attempt, &tried) {
                return Err(reason);
            }
            statements
                .cx
                .changes
                .next(Instant::now() + RETRY_PAUSE)
                .await;
        }
    }

    /// Why the transaction is given up after an attempt, if it is.
    fn ends_first(
        &self,
        statements: &Rc<Statements>,
        request: &Request,
        attempt: give_up::Attempt,
        tried: &[DatabaseName],
    ) -> Option<Reason> {
        let known = Known {
            statements,
            request,
            need: self.need(request),
            tried,
            running: 0,
        };
        let hopeless = known.judge(OPERATION, attempt);
        hopeless.or_else(|| {
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
    ) -> Attempt {
        let choosing = statements.choose(request, OPERATION, self.need(request), tried);
        let Some(Choice { target, proof }) = choosing.await else {
            return Attempt::NotRun(FailureKind::Busy);
        };
        let checkout = statements.checkout(request, &target, Work::Transaction);
        let mut checkout = match checkout.await {
            Ok(checkout) => checkout,
            Err(kind) => return Attempt::NotRun(kind),
        };
        request.attempt(statements);
        let batch = self.opening(request, proof);
        let sent = statements.cx.now();
        let exchange = request.exchange(statements, &mut checkout, &target, &batch, Stage::First);
        let (answers, dispatch) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => {
                return statements.without_answer(OPERATION, (&target, proof), unanswered);
            }
        };
        let mut answers = answers.into_iter();
        let Some(begun) = answers.next() else {
            return Attempt::without_all_answers();
        };
        if let Err(failure) = &begun.end {
            dispatch.rejected();
            learn_from_refusal(statements, &target, proof, failure.kind);
            if begun.state == TransactionState::Idle {
                checkout.give_back();
            }
            return Attempt::NotRun(failure.kind);
        }
        statements.learn(&target, learn::from_answer(OPERATION, proof, target.leads));
        let leads = proof == Proof::Leads;
        if leads && !statements.leadership.checks.is_upheld(&target, sent).await {
            return Attempt::NotRun(FailureKind::ReadOnly);
        }
        if leads {
            statements
                .databases
                .observe(&target.group, begun.position, sent);
        }
        self.bound = Some(Bound {
            checkout,
            target: target.clone(),
            leads,
        });
        let Some(answer) = answers.next() else {
            return Attempt::without_all_answers();
        };
        if leads && answer.end.is_ok() && statements.leadership.checks.surely_leads(&target) {
            statements
                .databases
                .observe(&target.group, answer.position, sent);
        }
        match &answer.end {
            Err(failure) if failure.kind.not_run() => {
                dispatch.rejected();
                learn_from_refusal(statements, &target, proof, failure.kind);
                Attempt::NotRun(failure.kind)
            }
            _ => Attempt::Answered(answer),
        }
    }

    /// What opens the transaction and runs its first statement.
    fn opening(&self, request: &Request, proof: Proof) -> Batch {
        let begin = match proof {
            Proof::Holds(position) => OwnStatement::BeginReadOnly {
                after: Some(position),
            },
            Proof::Leads => OwnStatement::Begin,
        };
        let steps = vec![Step::Own(begin), request.step(None)];
        let mut batch = Batch::of(request.context(), steps);
        batch.flow = Flow::UntilFailure;
        batch.reset = self.reset_after_failure();
        batch
    }

    /// What the transaction has to see; `None` when it needs the primary.
    fn need(&self, request: &Request) -> Option<FreshnessNeed> {
        let consistency = request.route.consistency;
        let need = consistency.need(self.begun, request.connected, request.own_commit);
        need.filter(|_| self.read_only)
    }
}

fn learn_from_refusal(
    statements: &Rc<Statements>,
    target: &Target,
    proof: Proof,
    kind: FailureKind,
) {
    statements.learn(target, learn::from_refusal(OPERATION, proof, kind));
}
