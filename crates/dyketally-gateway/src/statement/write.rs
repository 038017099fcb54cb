//! Single writes: sent to the primary, and retried only if they have not run.

use std::rc::Rc;

use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use crate::database::batch::Batch;
use crate::database::connection::Disconnected;
use crate::database::connection_request::ConnectionUse;
use crate::database::target::Target;
use crate::decision::choose::FreshnessCheck;
use crate::decision::give_up::{self, Time};
use crate::decision::learn;
use crate::decision::retry::{self, AfterLoss, RETRY_PAUSE};
use crate::decision::{Operation, Reason};
use crate::statement::Statements;
use crate::statement::attempt::AttemptOutcome;
use crate::statement::ending::{LiveInputs, StatementOutcome};
use crate::statement::request::{Request, Response, Stage};

impl Statements {
    /// Serves a single write.
    pub async fn serve_write(self: &Rc<Self>, request: &Request) -> StatementOutcome {
        let mut refusal = FailureKind::Busy;
        loop {
            let target = match self.primary_for_write(request).await {
                Ok(target) => target,
                Err(reason) => return request.given_up(reason, refusal),
            };
            let attempt = self.write_once(request, &target);
            match tokio::time::timeout_at(request.deadline, attempt).await {
                Ok(AttemptOutcome::Answered(answer)) => {
                    return StatementOutcome::answered(Response::from_database(answer));
                }
                Ok(AttemptOutcome::NotRun(kind)) => refusal = kind,
                Ok(AttemptOutcome::Lost(broken)) => match retry::after_loss(Operation::Write) {
                    AfterLoss::InDoubt => return StatementOutcome::in_doubt(&broken),
                    AfterLoss::Retry => {}
                },
                Err(_) => return request.given_up(Reason::DeadlinePassed, refusal),
            }
            if let Some(reason) = self.reason_to_end_write(request, refusal) {
                return request.given_up(reason, refusal);
            }
            self.cx.changes.next(Instant::now() + RETRY_PAUSE).await;
        }
    }

    /// Waits for a usable primary; on failure tells why the write is given up without one.
    async fn primary_for_write(self: &Rc<Self>, request: &Request) -> Result<Target, Reason> {
        let group = &request.route.group;
        let until = self
            .databases
            .group(group)
            .availability
            .wait_until(request.latest_start());
        let primary = self
            .leadership
            .confirmations
            .wait_for_primary(group, &request.regions, until)
            .await;
        primary.map_err(|denial| {
            let reason = give_up::no_primary_reason(denial.is_lasting());
            match reason {
                Reason::NothingMayServe => self.report_unserved(request, denial),
                _ => self
                    .databases
                    .group(group)
                    .availability
                    .record_failed_attempt(),
            }
            reason
        })
    }

    /// Why a write is given up after it was refused for `refusal`; `None` when it goes on.
    fn reason_to_end_write(&self, request: &Request, refusal: FailureKind) -> Option<Reason> {
        let inputs = LiveInputs {
            statements: self,
            request,
            need: None,
            tried: &[],
            running: 0,
        };
        let reason = inputs.reason_to_give_up(
            Operation::Write,
            give_up::UnansweredAttempt::NotRun(refusal),
        );
        reason.or_else(|| {
            let time = Time {
                now: Instant::now(),
                deadline: request.deadline,
            };
            give_up::out_of_time(Operation::Write, time, 0)
        })
    }

    async fn write_once(self: &Rc<Self>, request: &Request, target: &Target) -> AttemptOutcome {
        let mut checkout = match self
            .checkout(request, target, ConnectionUse::Statements)
            .await
        {
            Ok(checkout) => checkout,
            Err(kind) => return AttemptOutcome::NotRun(kind),
        };
        let batch = Batch::for_session(request.context(), vec![request.step(None)]);
        request.count_attempt(self);
        let sent = self.cx.now();
        let exchange = request.exchange(self, &mut checkout, target, &batch, Stage::First);
        let (mut answers, dispatch) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => {
                let asked = (target, FreshnessCheck::Leads);
                return self.without_answer(Operation::Write, asked, unanswered);
            }
        };
        let Some(answer) = answers.pop() else {
            return AttemptOutcome::without_all_answers();
        };
        if answer.state == TransactionState::Idle {
            checkout.give_back();
        }
        match &answer.end {
            Ok(_) if !self.leadership.checks.still_leads_since(target, sent).await => {
                return AttemptOutcome::Lost(Disconnected::new_primary());
            }
            Ok(_) => self
                .databases
                .record_primary_position(&target.group, answer.position, sent),
            Err(failure) if failure.kind.not_run() => {
                dispatch.rejected();
                let feedback =
                    learn::from_refusal(Operation::Write, FreshnessCheck::Leads, failure.kind);
                self.apply_feedback(target, feedback);
                return AttemptOutcome::NotRun(failure.kind);
            }
            Err(_) => {}
        }
        AttemptOutcome::Answered(answer)
    }
}
