//! Single writes: sent to the primary once, and never again after that.

use std::rc::Rc;

use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use crate::database::batch::Batch;
use crate::database::claim::Work;
use crate::database::connection::Broken;
use crate::database::target::Target;
use crate::decision::choose::Proof;
use crate::decision::give_up::{self, Time};
use crate::decision::learn;
use crate::decision::retry::{self, AfterLoss, RETRY_PAUSE};
use crate::decision::{Operation, Reason};
use crate::statement::Statements;
use crate::statement::attempt::Attempt;
use crate::statement::ending::{Decided, Known};
use crate::statement::request::{Request, Served, Stage};

impl Statements {
    /// Serves a single write.
    pub async fn serve_write(self: &Rc<Self>, request: &Request) -> Decided {
        let mut refusal = FailureKind::Busy;
        loop {
            let target = match self.primary_for_write(request).await {
                Ok(target) => target,
                Err(reason) => return request.given_up(reason, refusal),
            };
            let attempt = self.write_once(request, &target);
            match tokio::time::timeout_at(request.deadline, attempt).await {
                Ok(Attempt::Answered(answer)) => {
                    return Decided::answered(Served::from_database(answer));
                }
                Ok(Attempt::NotRun(kind)) => refusal = kind,
                Ok(Attempt::Lost(broken)) => match retry::after_loss(Operation::Write) {
                    AfterLoss::InDoubt => return Decided::in_doubt(&broken),
                    AfterLoss::SendAgain => {}
                },
                Err(_) => return request.given_up(Reason::DeadlinePassed, refusal),
            }
            if let Some(reason) = self.ends_write(request, refusal) {
                return request.given_up(reason, refusal);
            }
            self.cx.changes.next(Instant::now() + RETRY_PAUSE).await;
        }
    }

    /// The primary, once it can be used, or why the write is given up without one.
    async fn primary_for_write(self: &Rc<Self>, request: &Request) -> Result<Target, Reason> {
        let group = &request.route.group;
        let until = self
            .databases
            .group(group)
            .availability
            .wait_until(request.give_up());
        let primary = self
            .leadership
            .confirmations
            .primary_by(group, &request.regions, until)
            .await;
        primary.map_err(|denial| {
            let reason = give_up::without_primary(denial.is_lasting());
            match reason {
                Reason::NothingMayServe => self.report_unserved(request, denial),
                _ => self.databases.group(group).availability.attempt_failed(),
            }
            reason
        })
    }

    /// Why a write is given up that was refused for `refusal`, if it is.
    fn ends_write(&self, request: &Request, refusal: FailureKind) -> Option<Reason> {
        let known = Known {
            statements: self,
            request,
            need: None,
            tried: &[],
            running: 0,
        };
        let hopeless = known.judge(Operation::Write, give_up::Attempt::NotRun(refusal));
        hopeless.or_else(|| {
            let time = Time {
                now: Instant::now(),
                deadline: request.deadline,
            };
            give_up::out_of_time(Operation::Write, time, 0)
        })
    }

    async fn write_once(self: &Rc<Self>, request: &Request, target: &Target) -> Attempt {
        let mut checkout = match self.checkout(request, target, Work::Statements).await {
            Ok(checkout) => checkout,
            Err(kind) => return Attempt::NotRun(kind),
        };
        let batch = Batch::of(request.context(), vec![request.step(None)]);
        request.attempt(self);
        let sent = self.cx.now();
        let exchange = request.exchange(self, &mut checkout, target, &batch, Stage::First);
        let (mut answers, dispatch) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => {
                let asked = (target, Proof::Leads);
                return self.without_answer(Operation::Write, asked, unanswered);
            }
        };
        let Some(answer) = answers.pop() else {
            return Attempt::without_all_answers();
        };
        if answer.state == TransactionState::Idle {
            checkout.give_back();
        }
        match &answer.end {
            Ok(_) if !self.leadership.checks.is_upheld(target, sent).await => {
                return Attempt::Lost(Broken::replaced());
            }
            Ok(_) => self.databases.observe(&target.group, answer.position, sent),
            Err(failure) if failure.kind.not_run() => {
                dispatch.rejected();
                let lesson = learn::from_refusal(Operation::Write, Proof::Leads, failure.kind);
                self.learn(target, lesson);
                return Attempt::NotRun(failure.kind);
            }
            Err(_) => {}
        }
        Attempt::Answered(answer)
    }
}
