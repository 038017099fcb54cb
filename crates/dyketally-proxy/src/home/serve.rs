//! The path of one request through its home: routed, admitted, run, completed.

use std::sync::Arc;
use std::time::Duration;

use dyketally::admission::Stage;
use dyketally::outcome::NotRunReason;
use dyketally::policy::{Access, TenantPolicy};
use dyketally::pool::Refusal;
use dyketally::time::Timestamp;
use dyketally_protocol::{Completion, ExecuteRequest, Freshness};
use tokio_util::sync::CancellationToken;

use super::admission::{AdmissionRequest, Reachability, TurnedAway};
use super::grant::{Grant, PooledConnection};
use super::output::ReplyOutput;
use super::route::Permission;
use super::sessions::{Arrival, Pin};
use super::shared::{HomePolicy, HomeShared};
use crate::clock::now;
use crate::reply::HomeRequest;

/// Runs `request` and completes its reply.
pub(super) async fn serve(shared: Arc<HomeShared>, request: HomeRequest, arrival: Arrival) {
    let HomeRequest {
        execute,
        cancelled,
        reply,
    } = request;
    let mut output = ReplyOutput::new(reply);
    let completion = serve_configured(&shared, &execute, &cancelled, arrival, &mut output).await;
    shared.counters.count(&completion);
    shared.sessions().finished(&execute.session);
    if output.finish(completion).await.is_err() {
        // A transaction without an owner is rolled back.
        let pin = shared.sessions().disown(&execute.session, arrival);
        drop(pin);
    }
}

async fn serve_configured(
    shared: &Arc<HomeShared>,
    execute: &ExecuteRequest,
    cancelled: &CancellationToken,
    arrival: Arrival,
    output: &mut ReplyOutput,
) -> Completion {
    let Some(policy) = shared.policy() else {
        return not_run(NotRunReason::NotConfigured);
    };
    let Some(tenant) = policy.tenant(&execute.tenant) else {
        return not_run(NotRunReason::NotConfigured);
    };
    let arrived_at = now();
    let served = ServedRequest {
        shared,
        policy: &policy,
        tenant,
        execute,
        cancelled,
        arrival,
        arrived_at,
        deadline: arrived_at + execute.time_left,
    };
    match execute.transaction {
        Some(number) => served.run_pinned(number, output).await,
        None => served.run_unpinned(output).await,
    }
}

/// Why a request goes no further.
pub(super) enum Stop {
    /// It is over.
    Complete(Completion),
    /// What it relied on has changed before anything was sent: begin again.
    Again,
}

impl From<NotRunReason> for Stop {
    fn from(reason: NotRunReason) -> Self {
        Self::Complete(not_run(reason))
    }
}

/// A request with what it needs on its way.
pub(super) struct ServedRequest<'a> {
    pub shared: &'a Arc<HomeShared>,
    pub policy: &'a HomePolicy,
    pub tenant: &'a TenantPolicy,
    pub execute: &'a ExecuteRequest,
    pub cancelled: &'a CancellationToken,
    pub arrival: Arrival,
    pub arrived_at: Timestamp,
    pub deadline: Timestamp,
}

impl ServedRequest<'_> {
    async fn run_pinned(&self, number: u64, output: &mut ReplyOutput) -> Completion {
        let pin = {
            let mut sessions = self.shared.sessions();
            sessions.take_pin(&self.execute.session, number)
        };
        let Some(mut pin) = pin.filter(|pin| !self.is_doomed(pin)) else {
            return Completion::RolledBack;
        };
        let admission = self.admission(Stage::Continuation);
        let admitted = tokio::select! {
            admitted = self.shared.dispatcher.admit(admission) => admitted,
            () = self.cancelled.cancelled() => Err(self.given_up()),
        };
        match admitted {
            Ok(grant) => {
                pin.may_have_written |= self.execute.access == Access::Write;
                self.run_on(pin, grant.slot, None, output).await
            }
            Err(turned_away) => match self.keep_pin(pin) {
                Ok(()) => turned_away.into(),
                Err(lost) => lost,
            },
        }
    }

    /// A transaction that was opened at a primary which was replaced since can't commit any more.
    fn is_doomed(&self, pin: &Pin) -> bool {
        let primary = self.shared.monitor.view(|view| view.primary());
        let replaced = |opened_in| primary.is_some_and(|(_, term)| term > opened_in);
        pin.leads_in.is_some_and(replaced)
    }

    async fn run_unpinned(&self, output: &mut ReplyOutput) -> Completion {
        loop {
            match self.attempt(output).await {
                Ok(completion) | Err(Stop::Complete(completion)) => return completion,
                Err(Stop::Again) => {}
            }
        }
    }

    async fn attempt(&self, output: &mut ReplyOutput) -> Result<Completion, Stop> {
        self.check_open().await?;
        let permission = self.route(Timestamp::ZERO).await?;
        let grant = self.admit(permission).await?;
        let Some(connection) = grant.connection else {
            return Err(Stop::Again);
        };
        let permission = self.route(connection.opened_at()).await?;
        let confirm = permission.confirm;
        let pin = self.new_pin(connection, permission);
        Ok(self.run_on(pin, grant.slot, confirm, output).await)
    }

    /// While the database leaves, what needs the primary waits for the next one.
    async fn check_open(&self) -> Result<(), Stop> {
        if self.shared.is_draining() {
            return Err(NotRunReason::Leaving.into());
        }
        if !self.shared.is_leaving() {
            return Ok(());
        }
        let needs_primary =
            self.execute.access == Access::Write || self.execute.freshness == Freshness::Current;
        if !needs_primary {
            return Err(NotRunReason::Leaving.into());
        }
        match self.redirect() {
            Completion::Redirect { primary: None, .. } => self.wait_while_leaving().await,
            elsewhere => Err(Stop::Complete(elsewhere)),
        }
    }

    async fn wait_while_leaving(&self) -> Result<(), Stop> {
        let mut changes = self.shared.monitor.changes();
        let pause = LEAVING_POLL_INTERVAL.min(self.time_left());
        if pause.is_zero() || self.cancelled.is_cancelled() {
            return Err(NotRunReason::Leaving.into());
        }
        // Whether the database still leaves is looked up again either way.
        let _ = tokio::time::timeout(pause, changes.changed()).await;
        Err(Stop::Again)
    }

    /// Waits for a slot and a connection, for as long as the permission holds.
    async fn admit(&self, permission: Permission) -> Result<Grant, Stop> {
        let mut changes = self.shared.monitor.changes();
        let mut reachability = self.shared.dispatcher.reachability();
        let admission = self.admission(Stage::Fresh);
        let admitted = self.shared.dispatcher.admit(admission);
        tokio::pin!(admitted);
        loop {
            if !self.still_permitted(permission) {
                return Err(Stop::Again);
            }
            if self.execute.access == Access::Read {
                check_reachable(*reachability.borrow_and_update())?;
            }
            tokio::select! {
                biased;
                admitted = &mut admitted => {
                    return admitted.map_err(|away| Stop::Complete(away.into()));
                }
                _ = changes.changed() => {}
                _ = reachability.changed() => {}
                () = self.cancelled.cancelled() => {
                    return Err(Stop::Complete(self.given_up().into()));
                }
            }
        }
    }

    fn admission(&self, stage: Stage) -> AdmissionRequest {
        AdmissionRequest {
            tenant: self.execute.tenant.clone(),
            weight: self.tenant.weight,
            queue_limit: self.tenant.queue_limit,
            stage,
            urgency: self.execute.urgency,
            deadline: self.deadline,
        }
    }

    fn new_pin(&self, connection: PooledConnection, permission: Permission) -> Pin {
        Pin {
            connection,
            opened_by: self.arrival,
            last_used_by: self.arrival,
            number: None,
            leads_in: permission.leads_in,
            may_have_written: self.execute.access == Access::Write,
            idle_since: now(),
        }
    }

    /// Keeps the connection for the session's next batch.
    pub(super) fn keep_pin(&self, mut pin: Pin) -> Result<(), Completion> {
        pin.idle_since = now();
        pin.last_used_by = self.arrival;
        pin.connection.pin();
        let kept = self.shared.sessions().keep_pin(&self.execute.session, pin);
        kept.map_err(|abandoned| {
            self.shared.counters.transactions_abandoned.increment();
            drop(abandoned);
            Completion::RolledBack
        })
    }

    fn given_up(&self) -> TurnedAway {
        TurnedAway {
            reason: NotRunReason::DeadlinePassed,
            retry_after: Duration::ZERO,
        }
    }
}

impl From<TurnedAway> for Completion {
    fn from(turned_away: TurnedAway) -> Self {
        Completion::NotRun {
            reason: turned_away.reason,
            retry_after: Some(turned_away.retry_after),
        }
    }
}

/// A read need not wait for a database that grants no connection: another one may serve it.
fn check_reachable(reachability: Reachability) -> Result<(), Stop> {
    match reachability {
        Reachability::Granting => Ok(()),
        Reachability::Refusing(Refusal::CannotConnectNow) => Err(NotRunReason::Leaving.into()),
        Reachability::Refusing(Refusal::Unreachable | Refusal::TooManyConnections) => {
            Err(NotRunReason::Unreachable.into())
        }
    }
}

pub(super) fn not_run(reason: NotRunReason) -> Completion {
    let retry_after = match reason {
        NotRunReason::NotConfigured | NotRunReason::NotHome => None,
        _ => Some(COME_BACK_SOON),
    };
    Completion::NotRun {
        reason,
        retry_after,
    }
}

/// Time between two looks whether the database still leaves.
const LEAVING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When to come back after a refusal that says nothing about its length.
const COME_BACK_SOON: Duration = Duration::from_millis(50);
