//! Single reads: served by any database that is fresh enough, and sent again when an answer is
//! late or lost.

use std::rc::Rc;
use std::time::Duration;

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
use crate::gateway::Gateway;
use crate::ports::OwnStatement;
use crate::statement::hand_over::HandOver;
use crate::statement::request::{Request, Served, Stage};
use crate::statement::write::{Attempt, RETRY_PAUSE};

/// Longest wait for an answer before another database is asked as well.
const HEDGE_AT_MOST: Duration = Duration::from_millis(350);
/// How long an answer that nobody waits for any more is waited for, to keep its connection. An
/// answer may never come, and each connection that waits for one is missing from its pool.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Attempts of one read, at most.
const ATTEMPTS_AT_MOST: u32 = 12;
/// Attempts of one read that wait for answers at one time.
const RUNNING_AT_MOST: usize = 3;

/// How a read proves that it is fresh.
#[derive(Clone, Copy, Debug)]
enum Proof {
    /// The database proves that it leads.
    Leads,
    /// The database's log holds the position.
    Holds(LogPosition),
}

impl Gateway {
    /// Serves a single read.
    pub async fn serve_read(self: &Rc<Self>, request: &Rc<Request>) -> Served {
        let mut running = FuturesUnordered::new();
        let mut tried: Vec<DatabaseName> = Vec::new();
        let mut refusal = FailureKind::Busy;
        loop {
            let may_start =
                running.len() < RUNNING_AT_MOST && request.attempts.get() < ATTEMPTS_AT_MOST;
            let started = match may_start && Instant::now() < request.give_up() {
                true => self.start_read(request, &mut tried).await,
                false => None,
            };
            let none_started = started.is_none();
            running.extend(started);
            let idle = may_start && none_started && running.is_empty();
            if idle
                && request
                    .served_nowhere(self, request.need().is_none())
                    .is_some()
            {
                return request.refuse(FailureKind::NotServedHere);
            }
            if idle && self.databases.primary_is_unavailable(&request.route.group) {
                return request.refuse(refusal);
            }
            let wake = next_step(request, running.is_empty());
            tokio::select! {
                finished = running.next(), if !running.is_empty() => match finished {
                    Some(Ok(Attempt::Answered(answer))) => return Served::from_database(answer),
                    Some(Ok(Attempt::NotRun(kind))) => {
                        refusal = kind;
                        let group = &request.route.group;
                        let hopeless = request.is_hopeless(self, kind) || self.databases.primary_is_unavailable(group);
                        if hopeless
                            && running.is_empty()
                            && !self.may_try_another(request, &tried)
                        {
                            return request.refuse(kind);
                        }
                        if kind == FailureKind::Busy {
                            tokio::time::sleep(RETRY_PAUSE / 2).await;
                        }
                    }
                    Some(Ok(Attempt::Lost(_)) | Err(_)) | None => {}
                },
                () = tokio::time::sleep_until(wake) => {}
            }
            let now = Instant::now();
            if now >= request.deadline {
                if request.hand_overs.unrun().is_some() {
                    // What still waits for a connection must not run once the caller is told so.
                    running.iter().for_each(JoinHandle::abort);
                }
                return request.out_of_time(refusal);
            }
            if running.is_empty() && now >= request.give_up() {
                return request.refuse(refusal);
            }
        }
    }

    async fn start_read(
        self: &Rc<Self>,
        request: &Rc<Request>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<JoinHandle<Attempt>> {
        let (target, proof) = self.choose_read(request, tried).await?;
        tried.push(target.name.clone());
        request.attempt(self);
        let gateway = self.clone();
        let request = request.clone();
        Some(tokio::task::spawn_local(async move {
            let attempt = gateway.read_once(&request, &target, proof);
            let last = request.deadline + LATE_ANSWER_LIMIT;
            match tokio::time::timeout_at(last, attempt).await {
                Ok(attempt) => attempt,
                Err(_) => Attempt::Lost(Broken::new("no answer came")),
            }
        }))
    }

    /// True when a database that wasn't tried may serve the read.
    fn may_try_another(&self, request: &Request, tried: &[DatabaseName]) -> bool {
        let Some(need) = request.need() else {
            return false;
        };
        let group = &request.route.group;
        let known = need.position(&self.databases.group(group).observations.borrow());
        self.has_untried(group, &request.regions, known, tried)
    }

    async fn choose_read(
        self: &Rc<Self>,
        request: &Request,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<(Target, Proof)> {
        let group = &request.route.group;
        let Some(need) = request.need() else {
            self.cx.counters.reads_bound_to_primaries.add();
            let pause = Instant::now() + RETRY_PAUSE;
            let until = pause.min(request.give_up());
            let primary = self
                .leadership
                .confirmations
                .primary_by(group, &request.regions, until)
                .await;
            return Some((primary.ok()?, Proof::Leads));
        };
        let state = self.databases.group(group);
        let known = need.position(&state.observations.borrow());
        let first = self.first_untried(group, &request.regions, known, tried)?;
        if let Some(position) = known {
            return Some((first, Proof::Holds(position)));
        }
        if first.leads {
            let primary = self.databases.primary_target(group, &request.regions);
            return Some((primary.ok()?, Proof::Leads));
        }
        let confirmed = self.leadership.confirmations.ensure_observation(
            group,
            need.covered,
            request.give_up(),
        );
        if confirmed.await.is_some()
            && let Some(position) = need.position(&state.observations.borrow())
        {
            return Some((first, Proof::Holds(position)));
        }
        let primary = self.databases.primary_target(group, &request.regions);
        Some((primary.ok()?, Proof::Leads))
    }

    async fn read_once(
        self: &Rc<Self>,
        request: &Request,
        target: &Target,
        proof: Proof,
    ) -> Attempt {
        let mut checkout = match self.checkout(request, target, Work::Statements).await {
            Ok(checkout) => checkout,
            Err(kind) => return Attempt::NotRun(kind),
        };
        let steps = match proof {
            Proof::Holds(position) => vec![request.step(Some(position))],
            Proof::Leads => vec![
                Step::Own(OwnStatement::Begin),
                request.step(None),
                Step::Own(OwnStatement::Rollback),
            ],
        };
        let batch = Batch::of(request.context(), steps);
        let sent = self.cx.now();
        let exchange = request.exchange(self, &mut checkout, target, &batch, Stage::First);
        let (answers, hand_over) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => return unanswered.into(),
        };
        if leave_idle(&answers) {
            checkout.give_back();
        }
        let mut own = answers.into_iter();
        match proof {
            Proof::Holds(position) => {
                let Some(answer) = own.next() else {
                    return Attempt::Lost(Broken::new("the database gave no answer"));
                };
                self.judge_replica_read(target, position, answer, hand_over)
            }
            Proof::Leads => {
                let (Some(begun), Some(answer)) = (own.next(), own.next()) else {
                    return Attempt::Lost(Broken::new("the database gave no answer"));
                };
                let judged = self.judge_primary_read(target, sent, begun, answer, hand_over);
                judged.await
            }
        }
    }

    fn judge_replica_read(
        self: &Rc<Self>,
        target: &Target,
        position: LogPosition,
        answer: Answer,
        hand_over: HandOver,
    ) -> Attempt {
        if let Err(failure) = &answer.end
            && failure.kind.not_run()
        {
            hand_over.rejected();
            if failure.kind == FailureKind::ReplicaBehind {
                self.cx.counters.reads_behind.add();
                target.state.was_behind(position);
                self.databases
                    .replica_showed(&target.group, position, false);
            }
            return Attempt::NotRun(failure.kind);
        }
        target.state.was_fresh();
        match target.leads {
            true => self.cx.counters.reads_at_primaries.add(),
            false => {
                self.cx.counters.reads_at_replicas.add();
                self.databases.replica_showed(&target.group, position, true);
            }
        }
        Attempt::Answered(answer)
    }

    /// Judges a read behind a `BEGIN` that only a leader takes. A read behind one that was refused
    /// ran on its own, and proves nothing.
    async fn judge_primary_read(
        self: &Rc<Self>,
        target: &Target,
        sent: Timestamp,
        begun: Answer,
        answer: Answer,
        hand_over: HandOver,
    ) -> Attempt {
        let kind_of = |answer: &Answer| answer.end.as_ref().err().map(|failure| failure.kind);
        let (refused, failed) = (kind_of(&begun), kind_of(&answer));
        if [refused, failed].contains(&Some(FailureKind::ReadOnly)) {
            self.leadership.confirmations.refused_as_primary(target);
        }
        match (refused, failed) {
            (refused, Some(kind)) if kind.not_run() => {
                hand_over.rejected();
                Attempt::NotRun(refused.unwrap_or(kind))
            }
            (Some(_), _) => Attempt::Lost(Broken::new("the database doesn't lead its group")),
            (None, None) if !self.leadership.checks.is_upheld(target).await => {
                Attempt::Lost(Broken::replaced())
            }
            (None, None) => {
                self.cx.counters.reads_at_primaries.add();
                self.databases.observe(&target.group, answer.position, sent);
                Attempt::Answered(answer)
            }
            (None, Some(_)) => Attempt::Answered(answer),
        }
    }
}

/// When a read that gets no answer takes its next step.
fn next_step(request: &Request, nothing_runs: bool) -> Instant {
    let pause = match nothing_runs {
        true => RETRY_PAUSE,
        false => HEDGE_AT_MOST,
    };
    (Instant::now() + pause).min(request.deadline)
}
