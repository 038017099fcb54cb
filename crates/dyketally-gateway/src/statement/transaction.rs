//! Transactions: opened at a database with their first statement, and bound to that connection.

use std::rc::Rc;

use dyketally::freshness::FreshnessNeed;
use dyketally::group::LogPosition;
use dyketally::identifiers::DatabaseName;
use dyketally::policy::Access;
use dyketally::statement::{FailureKind, TransactionState};
use dyketally::time::Timestamp;
use tokio::time::Instant;
use tokio::time::error::Elapsed;

use crate::database::batch::{Batch, Flow, Reset, Step};
use crate::database::claim::Work;
use crate::database::connection::{Answer, Broken};
use crate::database::target::Target;
use crate::fleet::access::ExchangeError;
use crate::fleet::connection::DatabaseConnection;
use crate::gateway::Gateway;
use crate::ports::OwnStatement;
use crate::quota::Permit;
use crate::statement::request::{Request, Served, Stage};
use crate::statement::write::RETRY_PAUSE;

/// A transaction of a session.
pub struct Transaction {
    /// True when it promised not to write.
    pub read_only: bool,
    /// When it was begun.
    pub begun: Timestamp,
    /// True once it can only be rolled back.
    pub failed: bool,
    /// True once it sent a write.
    pub wrote: bool,
    /// True once values were set in it.
    pub set_values: bool,
    /// Leave to run it, once it was obtained.
    pub permit: Option<Permit>,
    bound: Option<Bound>,
}

struct Bound {
    checkout: DatabaseConnection,
    target: Target,
    leads: bool,
}

/// The answer to a statement of a transaction.
pub struct TransactionAnswer {
    /// What the caller is told.
    pub served: Served,
    /// The state afterwards.
    pub state: TransactionState,
}

enum First {
    Served(Answer),
    NotRun(FailureKind),
    Lost,
}

impl Transaction {
    /// A transaction that no database knows of yet.
    pub fn new(read_only: bool, begun: Timestamp) -> Self {
        Self {
            read_only,
            begun,
            failed: false,
            wrote: false,
            set_values: false,
            permit: None,
            bound: None,
        }
    }

    /// Runs a read or write in the transaction.
    pub async fn run(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
        access: Access,
    ) -> TransactionAnswer {
        let served = match self.bound.is_some() {
            true => self.run_bound(gateway, request).await,
            false => self.run_first(gateway, request).await,
        };
        self.wrote |= access == Access::Write;
        match served {
            Ok(answer) => self.settle(gateway, request, answer),
            Err(reason) => self.give_up(gateway, request, reason),
        }
    }

    /// Ends the transaction and keeps its writes.
    pub async fn commit(&mut self, gateway: &Rc<Gateway>, request: &Request) -> TransactionAnswer {
        if self.failed {
            return ended(Served::failed(
                FailureKind::Aborted,
                "the transaction had failed and is rolled back",
            ));
        }
        if self.bound.is_none() {
            let Ok(answer) = self.run_first(gateway, request).await else {
                return self.give_up_unkept(gateway, request);
            };
            return self.committed(gateway, request, answer).await;
        }
        match self.send_until_run(gateway, request).await {
            Ok(Some(answer)) => self.committed(gateway, request, answer).await,
            // What was written is kept only if the commit ran.
            Ok(None) | Err(_) if !self.wrote || request.hand_overs.unrun().is_some() => {
                self.give_up_unkept(gateway, request)
            }
            Ok(None) => {
                self.bound = None;
                ended(Served::in_doubt("the connection broke during the commit"))
            }
            Err(_) => {
                self.bound = None;
                ended(Served::timed_out())
            }
        }
    }

    async fn committed(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
        answer: Answer,
    ) -> TransactionAnswer {
        if self.wrote && answer.end.is_ok() && !self.is_upheld(gateway).await {
            self.bound = None;
            let served = Served::in_doubt(&Broken::replaced().reason);
            request.log(gateway, &served, "the transaction's database was replaced");
            return ended(served);
        }
        if answer.state != TransactionState::Idle {
            self.drop_bound();
        } else if let Some(bound) = self.bound.take() {
            bound.checkout.give_back();
        }
        ended(Served::from_database(answer))
    }

    /// True unless the transaction runs at a database that led the group and no longer does.
    async fn is_upheld(&self, gateway: &Rc<Gateway>) -> bool {
        match &self.bound {
            Some(bound) if bound.leads => gateway.leadership.checks.is_upheld(&bound.target).await,
            _ => true,
        }
    }

    /// Drops the transaction and its writes, without waiting for the database.
    pub fn roll_back(&mut self) {
        self.drop_bound();
    }

    fn drop_bound(&mut self) {
        let Some(bound) = self.bound.take() else {
            return;
        };
        bound.checkout.roll_back(match self.set_values {
            true => Reset::Always,
            false => Reset::Never,
        });
    }

    /// Values that were set in a transaction are uncertain when it fails.
    fn reset_after_failure(&self) -> Reset {
        match self.set_values {
            true => Reset::AfterFailure,
            false => Reset::Never,
        }
    }

    async fn run_bound(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
    ) -> Result<Answer, &'static str> {
        match self.send_until_run(gateway, request).await {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => {
                self.bound = None;
                Err("the transaction's connection broke")
            }
            Err(_) => {
                self.bound = None;
                Err("the transaction's database stayed silent")
            }
        }
    }

    /// Sends a statement to the transaction's database, again and again while the database is too
    /// busy to run it: giving up would waste what the transaction has done. `None` when the
    /// connection broke.
    async fn send_until_run(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
    ) -> Result<Option<Answer>, Elapsed> {
        loop {
            let sending = self.send(gateway, request);
            let answer = tokio::time::timeout_at(request.deadline, sending).await?;
            let Some(answer) = answer else {
                return Ok(None);
            };
            let busy = matches!(&answer.end, Err(failure) if failure.kind == FailureKind::Busy);
            let time_left = Instant::now() + RETRY_PAUSE < request.give_up();
            if !busy || answer.state != TransactionState::Open || !time_left {
                return Ok(Some(answer));
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn send(&mut self, gateway: &Rc<Gateway>, request: &Request) -> Option<Answer> {
        let reset = self.reset_after_failure();
        let bound = self.bound.as_mut()?;
        request.attempt(gateway);
        let mut batch = Batch::of(request.context(), vec![request.step(None)]);
        batch.reset = reset;
        let sent = gateway.cx.now();
        let (checkout, target) = (&mut bound.checkout, &bound.target);
        let exchange = request.exchange(gateway, checkout, target, &batch, Stage::Further);
        let (mut answers, hand_over) = exchange.await.ok()?;
        let answer = answers.pop()?;
        if answer.was_rejected() {
            hand_over.rejected();
        }
        if bound.leads
            && answer.end.is_ok()
            && gateway.leadership.checks.surely_leads(&bound.target)
        {
            gateway
                .databases
                .observe(&bound.target.group, answer.position, sent);
        }
        Some(answer)
    }

    /// Finds a database for the transaction and runs its first statement there. Nothing of the
    /// transaction is kept anywhere before it commits, so a first statement that was lost is
    /// simply run in a new transaction.
    async fn run_first(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
    ) -> Result<Answer, &'static str> {
        let mut passed_over = Vec::new();
        loop {
            let first = self.try_first(gateway, request, &mut passed_over);
            match tokio::time::timeout_at(request.deadline, first).await {
                Ok(First::Served(answer)) => return Ok(answer),
                Ok(First::NotRun(kind))
                    if request.is_hopeless(gateway, kind)
                        && !self.may_try_another(gateway, request, &passed_over) =>
                {
                    self.drop_bound();
                    return Err("the queue for the database was too long");
                }
                Ok(First::NotRun(_) | First::Lost) => {
                    self.drop_bound();
                    let needs_leader = self.need(request).is_none();
                    if request.served_nowhere(gateway, needs_leader).is_some() {
                        return Err("no database of the group may serve it");
                    }
                    let unavailable = gateway
                        .databases
                        .primary_is_unavailable(&request.route.group);
                    if unavailable && !self.may_try_another(gateway, request, &passed_over) {
                        return Err("the group has had no primary in reach for long");
                    }
                }
                Err(_) => {
                    self.bound = None;
                    return Err("the transaction's first statement got no answer in time");
                }
            }
            if Instant::now() + RETRY_PAUSE >= request.give_up() {
                return Err("no database took the transaction in time");
            }
            gateway.cx.changes.next(Instant::now() + RETRY_PAUSE).await;
        }
    }

    async fn try_first(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
        passed_over: &mut Vec<DatabaseName>,
    ) -> First {
        let Some((target, after)) = self.choose(gateway, request, passed_over).await else {
            return First::NotRun(FailureKind::Busy);
        };
        let begin = match after {
            Some(_) => OwnStatement::BeginReadOnly { after },
            None => OwnStatement::Begin,
        };
        passed_over.push(target.name.clone());
        let mut checkout = match gateway.checkout(request, &target, Work::Transaction).await {
            Ok(checkout) => checkout,
            Err(kind) => return First::NotRun(kind),
        };
        request.attempt(gateway);
        let steps = vec![Step::Own(begin), request.step(None)];
        let mut batch = Batch::of(request.context(), steps);
        batch.flow = Flow::UntilFailure;
        batch.reset = self.reset_after_failure();
        let sent = gateway.cx.now();
        let exchange = request.exchange(gateway, &mut checkout, &target, &batch, Stage::First);
        let (answers, hand_over) = match exchange.await {
            Ok(answered) => answered,
            Err(ExchangeError::NotRun(kind)) => {
                note_refusal(gateway, &target, kind, after);
                return First::NotRun(kind);
            }
            Err(ExchangeError::Lost(_)) => return First::Lost,
        };
        let mut answers = answers.into_iter();
        let Some(begun) = answers.next() else {
            return First::Lost;
        };
        if let Err(failure) = &begun.end {
            hand_over.rejected();
            note_refusal(gateway, &target, failure.kind, after);
            if begun.state == TransactionState::Idle {
                checkout.give_back();
            }
            return First::NotRun(failure.kind);
        }
        let leads = after.is_none();
        if !leads {
            target.state.was_fresh();
        }
        if leads && !gateway.leadership.checks.is_upheld(&target).await {
            return First::NotRun(FailureKind::ReadOnly);
        }
        if leads {
            gateway
                .databases
                .observe(&target.group, begun.position, sent);
        }
        self.bound = Some(Bound {
            checkout,
            target: target.clone(),
            leads,
        });
        let Some(answer) = answers.next() else {
            return First::Lost;
        };
        if leads && answer.end.is_ok() && gateway.leadership.checks.surely_leads(&target) {
            gateway
                .databases
                .observe(&target.group, answer.position, sent);
        }
        match &answer.end {
            Err(failure) if failure.kind.not_run() => {
                hand_over.rejected();
                note_refusal(gateway, &target, failure.kind, after);
                First::NotRun(failure.kind)
            }
            _ => First::Served(answer),
        }
    }

    /// What the transaction has to see; `None` when it needs the primary.
    fn need(&self, request: &Request) -> Option<FreshnessNeed> {
        let consistency = request.route.consistency;
        let need = consistency.need(self.begun, request.connected, request.own_commit);
        need.filter(|_| self.read_only)
    }

    /// True when a database that wasn't tried may take the transaction.
    fn may_try_another(
        &self,
        gateway: &Gateway,
        request: &Request,
        tried: &[DatabaseName],
    ) -> bool {
        let Some(need) = self.need(request) else {
            return false;
        };
        let group = &request.route.group;
        let known = need.position(&gateway.databases.group(group).observations.borrow());
        gateway.has_untried(group, &request.regions, known, tried)
    }

    async fn choose(
        &self,
        gateway: &Rc<Gateway>,
        request: &Request,
        passed_over: &mut Vec<DatabaseName>,
    ) -> Option<(Target, Option<LogPosition>)> {
        let group = &request.route.group;
        let until = (Instant::now() + RETRY_PAUSE).min(request.give_up());
        let Some(need) = self.need(request) else {
            let primary = gateway
                .leadership
                .confirmations
                .primary_by(group, &request.regions, until)
                .await;
            return Some((primary.ok()?, None));
        };
        let state = gateway.databases.group(group);
        let mut position = need.position(&state.observations.borrow());
        if position.is_none() {
            let asked = gateway.leadership.confirmations.ensure_observation(
                group,
                need.covered,
                request.give_up(),
            );
            asked.await?;
            position = need.position(&state.observations.borrow());
        }
        let target = gateway.first_untried(group, &request.regions, position, passed_over)?;
        Some((target, position))
    }

    fn settle(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
        answer: Answer,
    ) -> TransactionAnswer {
        match (&answer.end, answer.state) {
            (Ok(_), TransactionState::Open) => TransactionAnswer {
                served: Served::from_database(answer),
                state: TransactionState::Open,
            },
            (Err(failure), _) if failure.kind.not_run() => {
                if failure.kind == FailureKind::ReadOnly
                    && let Some(bound) = &self.bound
                    && bound.leads
                {
                    gateway
                        .leadership
                        .confirmations
                        .refused_as_primary(&bound.target);
                }
                let reason = format!("the transaction's database answered {:?}", failure.kind);
                self.give_up(gateway, request, &reason)
            }
            (Err(_), _) => {
                self.failed = true;
                self.drop_bound();
                TransactionAnswer {
                    served: Served::from_database(answer),
                    state: TransactionState::Failed,
                }
            }
            (Ok(_), _) => self.give_up(gateway, request, "the transaction ended by itself"),
        }
    }

    fn give_up(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Request,
        reason: &str,
    ) -> TransactionAnswer {
        self.failed = true;
        self.drop_bound();
        let served = Served::rolled_back();
        request.log(gateway, &served, reason);
        TransactionAnswer {
            served,
            state: TransactionState::Failed,
        }
    }

    /// Ends a transaction that is lost, and of which nothing can have been kept.
    fn give_up_unkept(&mut self, gateway: &Rc<Gateway>, request: &Request) -> TransactionAnswer {
        self.drop_bound();
        let served = Served::rolled_back();
        let reason = "the transaction was lost before it could commit anything";
        request.log(gateway, &served, reason);
        ended(served)
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.drop_bound();
    }
}

fn ended(served: Served) -> TransactionAnswer {
    TransactionAnswer {
        served,
        state: TransactionState::Idle,
    }
}

fn note_refusal(
    gateway: &Rc<Gateway>,
    target: &Target,
    kind: FailureKind,
    after: Option<LogPosition>,
) {
    match (kind, after) {
        (FailureKind::ReadOnly, None) => {
            gateway.leadership.confirmations.refused_as_primary(target)
        }
        (FailureKind::ReplicaBehind, Some(after)) => target.state.was_behind(after),
        _ => {}
    }
}
