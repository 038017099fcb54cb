//! Single reads: served by any database that is fresh enough, and sent to another one when an answer is
//! late or lost.

use std::rc::Rc;

use dyketally::group::LogPosition;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;
use dyketally::time::Timestamp;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::database::batch::{Batch, Step};
use crate::database::connection::{Answer, Disconnected, end_outside_transaction};
use crate::database::connection_request::ConnectionUse;
use crate::database::target::Target;
use crate::decision::choose::FreshnessCheck;
use crate::decision::give_up::{self, Time};
use crate::decision::hedge::{self, LATE_ANSWER_LIMIT};
use crate::decision::learn::{self, ReadAfterBegin};
use crate::decision::retry::{self, Attempts};
use crate::decision::{Operation, Reason};
use crate::ports::OwnStatement;
use crate::statement::Statements;
use crate::statement::attempt::AttemptOutcome;
use crate::statement::choose::ChosenDatabase;
use crate::statement::dispatch::Dispatch;
use crate::statement::ending::{LiveInputs, StatementOutcome};
use crate::statement::request::{Request, Response, Stage};

/// Attempts of a read that wait for a connection or an answer.
type Running = FuturesUnordered<JoinHandle<AttemptOutcome>>;

impl Statements {
    /// Serves a single read.
    pub async fn serve_read(self: &Rc<Self>, request: &Rc<Request>) -> StatementOutcome {
        let mut running = Running::new();
        let mut tried: Vec<DatabaseName> = Vec::new();
        let mut refusal = FailureKind::Busy;
        loop {
            let attempts = Attempts {
                made: request.attempts.get(),
                running: running.len(),
            };
            let may_start_attempt = retry::may_start_attempt(attempts);
            let started = match may_start_attempt && Instant::now() < request.latest_start() {
                true => self.start_read(request, &mut tried).await,
                false => None,
            };
            let is_idle = may_start_attempt && started.is_none() && running.is_empty();
            running.extend(started);
            if is_idle
                && let Some(reason) = self.reason_to_end_read(
                    request,
                    give_up::UnansweredAttempt::NotStarted,
                    &tried,
                    &running,
                )
            {
                return request.given_up(reason, refusal);
            }
            match next_outcome(request, &mut running).await {
                Some(AttemptOutcome::Answered(answer)) => {
                    return StatementOutcome::answered(Response::from_database(answer));
                }
                Some(AttemptOutcome::NotRun(kind)) => {
                    refusal = kind;
                    let attempt = give_up::UnansweredAttempt::NotRun(kind);
                    if let Some(reason) =
                        self.reason_to_end_read(request, attempt, &tried, &running)
                    {
                        return request.given_up(reason, refusal);
                    }
                    if let Some(pause) = retry::read_pause_after(kind) {
                        tokio::time::sleep(pause).await;
                    }
                }
                Some(AttemptOutcome::Lost(_)) | None => {}
            }
            let time = Time {
                now: Instant::now(),
                deadline: request.deadline,
            };
            let over = give_up::out_of_time(Operation::Read, time, running.len());
            if let Some(reason) = over {
                if reason == Reason::DeadlinePassed && request.dispatches.proven_not_run().is_some()
                {
                    // Attempts that still wait for a connection must not run after the caller was told that the read
                    // has not run.
                    running.iter().for_each(JoinHandle::abort);
                }
                return request.given_up(reason, refusal);
            }
        }
    }

    /// Why a read is given up after an attempt; `None` when it goes on.
    fn reason_to_end_read(
        &self,
        request: &Request,
        attempt: give_up::UnansweredAttempt,
        tried: &[DatabaseName],
        running: &Running,
    ) -> Option<Reason> {
        let inputs = LiveInputs {
            statements: self,
            request,
            need: request.need(),
            tried,
            running: running.len(),
        };
        inputs.reason_to_give_up(Operation::Read, attempt)
    }

    async fn start_read(
        self: &Rc<Self>,
        request: &Rc<Request>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<JoinHandle<AttemptOutcome>> {
        let choosing = self.choose(request, Operation::Read, request.need(), tried);
        let choice = choosing.await?;
        request.count_attempt(self);
        let statements = self.clone();
        let request = request.clone();
        Some(tokio::task::spawn_local(async move {
            let attempt = statements.read_once(&request, &choice);
            let last = request.deadline + LATE_ANSWER_LIMIT;
            match tokio::time::timeout_at(last, attempt).await {
                Ok(attempt) => attempt,
                Err(_) => AttemptOutcome::Lost(Disconnected::new(
                    "no answer arrived before the deadline or shortly after it",
                )),
            }
        }))
    }

    async fn read_once(
        self: &Rc<Self>,
        request: &Request,
        choice: &ChosenDatabase,
    ) -> AttemptOutcome {
        let ChosenDatabase { target, check } = choice;
        let mut checkout = match self
            .checkout(request, target, ConnectionUse::Statements)
            .await
        {
            Ok(checkout) => checkout,
            Err(kind) => return AttemptOutcome::NotRun(kind),
        };
        let batch = Batch::for_session(request.context(), steps(request, *check));
        let sent = self.cx.now();
        let exchange = request.exchange(self, &mut checkout, target, &batch, Stage::First);
        let (answers, dispatch) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => {
                let asked = (target, *check);
                return self.without_answer(Operation::Read, asked, unanswered);
            }
        };
        if end_outside_transaction(&answers) {
            checkout.give_back();
        }
        let mut answers = answers.into_iter();
        match check {
            FreshnessCheck::Holds(position) => {
                let Some(answer) = answers.next() else {
                    return AttemptOutcome::without_all_answers();
                };
                self.evaluate_position_read(target, *position, answer, dispatch)
            }
            FreshnessCheck::Leads => {
                let (Some(begun), Some(answer)) = (answers.next(), answers.next()) else {
                    return AttemptOutcome::without_all_answers();
                };
                let evaluated = self.evaluate_leader_read(target, sent, begun, answer, dispatch);
                evaluated.await
            }
        }
    }

    /// Evaluates the answer to a read that runs only if the log holds `position`.
    fn evaluate_position_read(
        self: &Rc<Self>,
        target: &Target,
        position: LogPosition,
        answer: Answer,
        dispatch: Dispatch,
    ) -> AttemptOutcome {
        let check = FreshnessCheck::Holds(position);
        if let Err(failure) = &answer.end
            && failure.kind.not_run()
        {
            dispatch.rejected();
            let feedback = learn::from_refusal(Operation::Read, check, failure.kind);
            self.apply_feedback(target, feedback);
            return AttemptOutcome::NotRun(failure.kind);
        }
        match target.leads {
            true => self.cx.counters.reads_at_primaries.add(),
            false => self.cx.counters.reads_at_replicas.add(),
        }
        let feedback = learn::from_answer(Operation::Read, check, target.leads);
        self.apply_feedback(target, feedback);
        AttemptOutcome::Answered(answer)
    }

    /// Evaluates the answer to a read after a `BEGIN` that only a leader accepts.
    async fn evaluate_leader_read(
        self: &Rc<Self>,
        target: &Target,
        sent: Timestamp,
        begun: Answer,
        answer: Answer,
        dispatch: Dispatch,
    ) -> AttemptOutcome {
        let kind_of = |answer: &Answer| answer.end.as_ref().err().map(|failure| failure.kind);
        let (refused, failed) = (kind_of(&begun), kind_of(&answer));
        self.apply_feedback(target, learn::from_read_after_begin(refused, failed));
        match learn::read_after_begin(refused, failed) {
            ReadAfterBegin::NotRun(kind) => {
                dispatch.rejected();
                AttemptOutcome::NotRun(kind)
            }
            ReadAfterBegin::Inconclusive => {
                AttemptOutcome::Lost(Disconnected::new("the database refused the read's BEGIN"))
            }
            ReadAfterBegin::AnswerIfLeading
                if !self.leadership.checks.still_leads_since(target, sent).await =>
            {
                AttemptOutcome::Lost(Disconnected::new_primary())
            }
            ReadAfterBegin::AnswerIfLeading => {
                self.cx.counters.reads_at_primaries.add();
                self.databases
                    .record_primary_position(&target.group, answer.position, sent);
                AttemptOutcome::Answered(answer)
            }
            ReadAfterBegin::FailedAtLeader => AttemptOutcome::Answered(answer),
        }
    }
}

/// The steps of a read: alone if the log has to hold a position, otherwise in a transaction that only a
/// leader opens.
fn steps(request: &Request, check: FreshnessCheck) -> Vec<Step> {
    match check {
        FreshnessCheck::Holds(position) => vec![request.step(Some(position))],
        FreshnessCheck::Leads => vec![
            Step::Own(OwnStatement::Begin),
            request.step(None),
            Step::Own(OwnStatement::Rollback),
        ],
    }
}

/// Waits until an attempt ends, no longer than [`hedge`] allows.
async fn next_outcome(request: &Request, running: &mut Running) -> Option<AttemptOutcome> {
    let wait = hedge::wait_for_answer(running.len());
    let wake = (Instant::now() + wait).min(request.deadline);
    tokio::select! {
        // An attempt that panicked counts as one whose answer was lost.
        ended = running.next(), if !running.is_empty() => ended?.ok(),
        () = tokio::time::sleep_until(wake) => None,
    }
}
