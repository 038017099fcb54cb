//! Single reads: served by any database that is fresh enough, and sent again when an answer is
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
use crate::database::claim::Work;
use crate::database::connection::{Answer, Broken, leave_idle};
use crate::database::target::Target;
use crate::decision::choose::Proof;
use crate::decision::give_up::{self, Time};
use crate::decision::hedge::{self, LATE_ANSWER_LIMIT};
use crate::decision::learn::{self, BehindBegin};
use crate::decision::retry::{self, Attempts};
use crate::decision::{Operation, Reason};
use crate::ports::OwnStatement;
use crate::statement::Statements;
use crate::statement::attempt::Attempt;
use crate::statement::choose::Choice;
use crate::statement::dispatch::Dispatch;
use crate::statement::ending::{Decided, Known};
use crate::statement::request::{Request, Served, Stage};

/// Attempts of one read that wait for a connection or an answer.
type Running = FuturesUnordered<JoinHandle<Attempt>>;

impl Statements {
    /// Serves a single read.
    pub async fn serve_read(self: &Rc<Self>, request: &Rc<Request>) -> Decided {
        let mut running = Running::new();
        let mut tried: Vec<DatabaseName> = Vec::new();
        let mut refusal = FailureKind::Busy;
        loop {
            let attempts = Attempts {
                made: request.attempts.get(),
                running: running.len(),
            };
            let may_add = retry::may_add(attempts);
            let started = match may_add && Instant::now() < request.give_up() {
                true => self.start_read(request, &mut tried).await,
                false => None,
            };
            let is_idle = may_add && started.is_none() && running.is_empty();
            running.extend(started);
            if is_idle
                && let Some(reason) =
                    self.ends_read(request, give_up::Attempt::NotStarted, &tried, &running)
            {
                return request.given_up(reason, refusal);
            }
            match next_end(request, &mut running).await {
                Some(Attempt::Answered(answer)) => {
                    return Decided::answered(Served::from_database(answer));
                }
                Some(Attempt::NotRun(kind)) => {
                    refusal = kind;
                    let attempt = give_up::Attempt::NotRun(kind);
                    if let Some(reason) = self.ends_read(request, attempt, &tried, &running) {
                        return request.given_up(reason, refusal);
                    }
                    if let Some(pause) = retry::pause_of_read_after(kind) {
                        tokio::time::sleep(pause).await;
                    }
                }
                Some(Attempt::Lost(_)) | None => {}
            }
            let time = Time {
                now: Instant::now(),
                deadline: request.deadline,
            };
            let over = give_up::out_of_time(Operation::Read, time, running.len());
            if let Some(reason) = over {
                if reason == Reason::DeadlinePassed && request.dispatches.proven_not_run().is_some()
                {
                    // What still waits for a connection must not run once the caller receives that it has not.
                    running.iter().for_each(JoinHandle::abort);
                }
                return request.given_up(reason, refusal);
            }
        }
    }

    /// Why a read is given up after an attempt, if it is.
    fn ends_read(
        &self,
        request: &Request,
        attempt: give_up::Attempt,
        tried: &[DatabaseName],
        running: &Running,
    ) -> Option<Reason> {
        let known = Known {
            statements: self,
            request,
            need: request.need(),
            tried,
            running: running.len(),
        };
        known.judge(Operation::Read, attempt)
    }

    async fn start_read(
        self: &Rc<Self>,
        request: &Rc<Request>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<JoinHandle<Attempt>> {
        let choosing = self.choose(request, Operation::Read, request.need(), tried);
        let choice = choosing.await?;
        request.attempt(self);
        let statements = self.clone();
        let request = request.clone();
        Some(tokio::task::spawn_local(async move {
            let attempt = statements.read_once(&request, &choice);
            let last = request.deadline + LATE_ANSWER_LIMIT;
            match tokio::time::timeout_at(last, attempt).await {
                Ok(attempt) => attempt,
                Err(_) => Attempt::Lost(Broken::new("no answer came")),
            }
        }))
    }

    async fn read_once(self: &Rc<Self>, request: &Request, choice: &Choice) -> Attempt {
        let Choice { target, proof } = choice;
        let mut checkout = match self.checkout(request, target, Work::Statements).await {
            Ok(checkout) => checkout,
            Err(kind) => return Attempt::NotRun(kind),
        };
        let batch = Batch::of(request.context(), steps(request, *proof));
        let sent = self.cx.now();
        let exchange = request.exchange(self, &mut checkout, target, &batch, Stage::First);
        let (answers, dispatch) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => {
                let asked = (target, *proof);
                return self.without_answer(Operation::Read, asked, unanswered);
            }
        };
        if leave_idle(&answers) {
            checkout.give_back();
        }
        let mut answers = answers.into_iter();
        match proof {
            Proof::Holds(position) => {
                let Some(answer) = answers.next() else {
                    return Attempt::without_all_answers();
                };
                self.judge_holding_read(target, *position, answer, dispatch)
            }
            Proof::Leads => {
                let (Some(begun), Some(answer)) = (answers.next(), answers.next()) else {
                    return Attempt::without_all_answers();
                };
                let judged = self.judge_leading_read(target, sent, begun, answer, dispatch);
                judged.await
            }
        }
    }

    /// Judges a read that ran only if the log held `position`.
    fn judge_holding_read(
        self: &Rc<Self>,
        target: &Target,
        position: LogPosition,
        answer: Answer,
        dispatch: Dispatch,
    ) -> Attempt {
        let proof = Proof::Holds(position);
        if let Err(failure) = &answer.end
            && failure.kind.not_run()
        {
            dispatch.rejected();
            let lesson = learn::from_refusal(Operation::Read, proof, failure.kind);
            self.learn(target, lesson);
            return Attempt::NotRun(failure.kind);
        }
        match target.leads {
            true => self.cx.counters.reads_at_primaries.add(),
            false => self.cx.counters.reads_at_replicas.add(),
        }
        let lesson = learn::from_answer(Operation::Read, proof, target.leads);
        self.learn(target, lesson);
        Attempt::Answered(answer)
    }

    /// Judges a read behind a `BEGIN` that only a leader takes.
    async fn judge_leading_read(
        self: &Rc<Self>,
        target: &Target,
        sent: Timestamp,
        begun: Answer,
        answer: Answer,
        dispatch: Dispatch,
    ) -> Attempt {
        let kind_of = |answer: &Answer| answer.end.as_ref().err().map(|failure| failure.kind);
        let (refused, failed) = (kind_of(&begun), kind_of(&answer));
        self.learn(target, learn::from_behind_begin(refused, failed));
        match learn::behind_begin(refused, failed) {
            BehindBegin::NotRun(kind) => {
                dispatch.rejected();
                Attempt::NotRun(kind)
            }
            BehindBegin::ProvesNothing => {
                Attempt::Lost(Broken::new("the database doesn't lead its group"))
            }
            BehindBegin::AnswerOfLeader
                if !self.leadership.checks.is_upheld(target, sent).await =>
            {
                Attempt::Lost(Broken::replaced())
            }
            BehindBegin::AnswerOfLeader => {
                self.cx.counters.reads_at_primaries.add();
                self.databases.observe(&target.group, answer.position, sent);
                Attempt::Answered(answer)
            }
            BehindBegin::FailedAtLeader => Attempt::Answered(answer),
        }
    }
}

/// What is sent for a read: alone where the log must hold a position, else in a transaction that only a
/// leader opens.
fn steps(request: &Request, proof: Proof) -> Vec<Step> {
    match proof {
        Proof::Holds(position) => vec![request.step(Some(position))],
        Proof::Leads => vec![
            Step::Own(OwnStatement::Begin),
            request.step(None),
            Step::Own(OwnStatement::Rollback),
        ],
    }
}

/// Waits for the next attempt that ends, for as long as [`hedge`] says.
async fn next_end(request: &Request, running: &mut Running) -> Option<Attempt> {
    let patience = hedge::wait_for_answer(running.len());
    let wake = (Instant::now() + patience).min(request.deadline);
    tokio::select! {
        // An attempt that panicked counts as one whose answer was lost.
        ended = running.next(), if !running.is_empty() => ended?.ok(),
        () = tokio::time::sleep_until(wake) => None,
    }
}
