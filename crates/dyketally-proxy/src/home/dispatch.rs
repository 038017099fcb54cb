//! Gives statements their slot and connection: the fair queue and the pool of one database,
//! decided together, and the tasks that open connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dyketally::admission::{
    Admitted, Expired, FairQueue, QueueStatus, Rejected, RejectionReason, Stage, Submission, Ticket,
};
use dyketally::identifiers::TenantName;
use dyketally::outcome::NotRunReason;
use dyketally::pool::{
    ConnectionId, Pool, PoolAction, PoolSettings, PoolStatus, Refusal, ReleaseCondition,
};
use dyketally::retry::Backoff;
use dyketally::time::Timestamp;
use tokio::sync::{Notify, oneshot, watch};

use super::backend::{BackendError, BackendLogin, BackendStream};
use super::connection::Connection;
use super::grant::{Grant, PooledConnection, Slot};
use crate::clock::now;

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Pauses between attempts to connect. Short, as a write may wait for a primary that restarts.
const RECONNECT: Backoff = Backoff {
    first: Duration::from_millis(20),
    longest: Duration::from_millis(250),
};
/// Longest time between two looks at what is due.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

const TOO_MANY_CONNECTIONS: &str = "53300";
const CANNOT_CONNECT_NOW: &str = "57P03";

/// The database as the home last found it when it opened connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It grants connections, or none was asked for yet.
    Granting,
    /// It refused the last connection, and none is open.
    Refusing(Refusal),
}

/// Where a database is and what it grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// How to log in.
    pub login: BackendLogin,
    /// Connections it grants to statements.
    pub connection_limit: u32,
    /// Statements that it runs at one time.
    pub slots: u32,
}

/// A statement that asks for a slot, and for a connection if it has none.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// On whose share it runs.
    pub tenant: TenantName,
    /// The tenant's share relative to other tenants.
    pub weight: u32,
    /// Statements of this tenant that may wait.
    pub queue_limit: u32,
    /// Whether it holds a connection already.
    pub stage: Stage,
    /// Order among the tenant's own statements.
    pub urgency: dyketally::policy::Urgency,
    /// When to give up.
    pub deadline: Timestamp,
}

/// A statement that was turned away. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedAway {
    /// Why.
    pub reason: NotRunReason,
    /// When to come back.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Waiter {
    weight: u32,
    answer: oneshot::Sender<Result<Grant, TurnedAway>>,
}

#[derive(Debug)]
struct DispatchState {
    settings: DispatchSettings,
    queue: FairQueue<Waiter>,
    pool: Pool,
    idle: HashMap<ConnectionId, IdleConnection>,
}

#[derive(Debug)]
pub(super) struct IdleConnection {
    pub connection: Box<Connection>,
    pub opened_at: Timestamp,
}

/// The queue and the connections of one database.
#[derive(Debug)]
pub struct Dispatcher {
    state: Mutex<DispatchState>,
    reachability: watch::Sender<Reachability>,
    rescheduled: Notify,
}

/// What to do once the state is unlocked.
#[derive(Default)]
struct Outcomes {
    granted: Vec<(Waiter, Grant)>,
    open: Vec<ConnectionId>,
    closed: Vec<IdleConnection>,
}

impl Dispatcher {
    /// A dispatcher without connections.
    pub fn new(settings: DispatchSettings) -> Self {
        let state = DispatchState {
            queue: FairQueue::new(settings.slots),
            pool: Pool::new(pool_settings(&settings)),
            idle: HashMap::new(),
            settings,
        };
        Self {
            state: Mutex::new(state),
            reachability: watch::Sender::new(Reachability::Granting),
            rescheduled: Notify::new(),
        }
    }

    /// Replaces the settings. Idle connections to another address are closed.
    pub fn configure(self: &Arc<Self>, settings: DispatchSettings) {
        self.change(|state, outcomes| {
            if state.settings.address != settings.address {
                state.close_idle(outcomes);
            }
            state.queue.set_slots(settings.slots);
            state.pool.configure(pool_settings(&settings));
            state.settings = settings;
        });
    }

    /// Waits for a slot, and for a connection unless the statement holds one. Dropping the
    /// future takes the statement out of the queue.
    pub async fn admit(self: &Arc<Self>, request: AdmissionRequest) -> Result<Grant, TurnedAway> {
        let deadline = request.deadline;
        let (answer, mut granted) = oneshot::channel();
        let ticket = self.enqueue(request, answer)?;
        let _place = QueuedPlace {
            dispatcher: self,
            ticket,
        };
        loop {
            let left = deadline.saturating_since(now());
            match tokio::time::timeout(left, &mut granted).await {
                Ok(Ok(granted)) => return granted,
                Ok(Err(_)) => return Err(dropped()),
                Err(_) => self.expire(),
            }
        }
    }

    /// Gives out no connection and opens none while the database is leaving.
    pub fn set_leaving(self: &Arc<Self>, leaving: bool) {
        self.change(|state, _| match leaving {
            true => state.pool.leave(),
            false => state.pool.readmit(),
        });
    }

    /// Whether connections can be had; changes are seen by waiting statements.
    pub fn reachability(&self) -> watch::Receiver<Reachability> {
        self.reachability.subscribe()
    }

    /// The queue as operators see it.
    pub fn queue_status(&self) -> QueueStatus {
        self.lock().queue.status()
    }

    /// The pool as operators see it.
    pub fn pool_status(&self) -> PoolStatus {
        self.lock().pool.status()
    }

    /// Opens, closes and expires what is due; never ends.
    pub(super) async fn keep(self: Arc<Self>) {
        loop {
            let rescheduled = self.rescheduled.notified();
            self.change(|_, _| {});
            let wakeup = self.lock().pool.next_wakeup(now());
            let pause = wakeup.map_or(LONGEST_PAUSE, |at| at.saturating_since(now()));
            let _ = tokio::time::timeout(pause.min(LONGEST_PAUSE), rescheduled).await;
        }
    }

    /// The slot of a statement is free.
    pub(super) fn slot_finished(self: &Arc<Self>, ticket: Ticket) {
        self.change(|state, _| {
            state.queue.finished(now(), ticket);
        });
    }

    /// A transaction holds the connection from now on.
    pub(super) fn pin(&self, connection: ConnectionId) {
        self.lock().pool.pin(connection);
    }

    /// A connection comes back.
    pub(super) fn release(self: &Arc<Self>, id: ConnectionId, mut returned: IdleConnection) {
        let reusable = returned.connection.is_reusable();
        self.change(|state, outcomes| {
            let moved = returned.connection.address() != state.settings.address;
            let condition = match reusable && !moved {
                true => ReleaseCondition::Clean,
                false => ReleaseCondition::Dirty,
            };
            let action = state.pool.release(now(), id, condition);
            state.keep_or_close(id, returned, action, outcomes);
        });
    }

    fn enqueue(
        self: &Arc<Self>,
        request: AdmissionRequest,
        answer: oneshot::Sender<Result<Grant, TurnedAway>>,
    ) -> Result<Ticket, TurnedAway> {
        let submission = Submission {
            tenant: request.tenant,
            weight: request.weight,
            queue_limit: request.queue_limit,
            stage: request.stage,
            urgency: request.urgency,
            deadline: request.deadline,
            item: Waiter {
                weight: request.weight,
                answer,
            },
        };
        self.change(|state, _| {
            let now = now();
            if submission.stage == Stage::Fresh {
                state.pool.ask(now, &submission.tenant, submission.weight);
            }
            let ticket = state.queue.enqueue(now, submission, &mut rand::rng());
            ticket.map_err(turned_away)
        })
    }

    fn expire(&self) {
        let expired = self.lock().queue.expire(now(), &mut rand::rng());
        for Expired {
            item, retry_after, ..
        } in expired
        {
            // A waiter that has gone needs no answer.
            let _ = item.answer.send(Err(TurnedAway {
                reason: NotRunReason::DeadlinePassed,
                retry_after,
            }));
        }
    }

    /// Changes the state, then grants, opens and closes what follows from the change.
    fn change<R>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut DispatchState, &mut Outcomes) -> R,
    ) -> R {
        let mut outcomes = Outcomes::default();
        let result = {
            let mut state = self.lock();
            let result = change(&mut state, &mut outcomes);
            state.advance(self, &mut outcomes);
            result
        };
        self.carry_out(outcomes);
        result
    }

    fn carry_out(self: &Arc<Self>, outcomes: Outcomes) {
        for (waiter, grant) in outcomes.granted {
            // A grant that nobody waits for any more comes back as it is dropped.
            let _ = waiter.answer.send(Ok(grant));
        }
        for connection in outcomes.open {
            tokio::spawn(Arc::clone(self).open(connection));
        }
        drop(outcomes.closed);
    }

    async fn open(self: Arc<Self>, id: ConnectionId) {
        let (address, login) = {
            let state = self.lock();
            (state.settings.address, state.settings.login.clone())
        };
        let opened_at = now();
        match BackendStream::connect(address, &login, CONNECT_LIMIT).await {
            Ok(stream) => self.opened(id, stream, opened_at),
            Err(error) => self.refused(id, &error),
        }
    }

    fn opened(self: &Arc<Self>, id: ConnectionId, stream: BackendStream, opened_at: Timestamp) {
        let opened = IdleConnection {
            connection: Box::new(Connection::new(stream)),
            opened_at,
        };
        self.change(|state, outcomes| {
            let action = state.pool.connected(now(), id);
            state.keep_or_close(id, opened, action, outcomes);
        });
        self.set_reachability(Reachability::Granting);
    }

    fn refused(self: &Arc<Self>, id: ConnectionId, error: &BackendError) {
        let refusal = refusal_of(error);
        let none_open = self.change(|state, _| {
            state.pool.refused(now(), id, refusal, &mut rand::rng());
            let status = state.pool.status();
            status.idle + status.busy + status.pinned == 0
        });
        if none_open && self.set_reachability(Reachability::Refusing(refusal)) {
            log::warn!("no connection to the database can be opened: {error}");
        }
        self.rescheduled.notify_one();
    }

    fn set_reachability(&self, reachability: Reachability) -> bool {
        self.reachability
            .send_if_modified(|held| std::mem::replace(held, reachability) != reachability)
    }

    fn lock(&self) -> MutexGuard<'_, DispatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DispatchState {
    fn advance(&mut self, dispatcher: &Arc<Dispatcher>, outcomes: &mut Outcomes) {
        let now = now();
        while let Some(admitted) = self.next_admitted(now) {
            let connection = match admitted.stage {
                Stage::Continuation => None,
                Stage::Fresh => self.take_connection(&admitted, dispatcher, outcomes),
            };
            let slot = Slot::new(Arc::clone(dispatcher), admitted.ticket);
            let grant = Grant { connection, slot };
            outcomes.granted.push((admitted.item, grant));
        }
        let demand = u32::try_from(self.queue.queued_fresh()).unwrap_or(u32::MAX);
        let demand = demand.min(self.queue.free_slots());
        for action in self.pool.poll(now, demand) {
            match action {
                PoolAction::Open { connection } => outcomes.open.push(connection),
                PoolAction::Close { connection } => self.close(connection, outcomes),
            }
        }
    }

    fn next_admitted(&mut self, now: Timestamp) -> Option<Admitted<Waiter>> {
        let pool = &self.pool;
        self.queue.next_eligible(now, |tenant, stage| match stage {
            Stage::Continuation => true,
            Stage::Fresh => pool.can_acquire(tenant),
        })
    }

    /// The next idle connection that still works.
    fn take_connection(
        &mut self,
        admitted: &Admitted<Waiter>,
        dispatcher: &Arc<Dispatcher>,
        outcomes: &mut Outcomes,
    ) -> Option<PooledConnection> {
        let weight = admitted.item.weight;
        while let Some(id) = self.pool.acquire(now(), &admitted.tenant, weight) {
            if let Some(mut idle) = self.idle.remove(&id) {
                if idle.connection.is_reusable() {
                    return Some(PooledConnection::new(Arc::clone(dispatcher), id, idle));
                }
                outcomes.closed.push(idle);
            }
            self.pool.closed(id);
        }
        None
    }

    fn keep_or_close(
        &mut self,
        id: ConnectionId,
        connection: IdleConnection,
        action: Option<PoolAction>,
        outcomes: &mut Outcomes,
    ) {
        self.idle.insert(id, connection);
        if let Some(PoolAction::Close { connection }) = action {
            self.close(connection, outcomes);
        }
    }

    fn close(&mut self, id: ConnectionId, outcomes: &mut Outcomes) {
        outcomes.closed.extend(self.idle.remove(&id));
        self.pool.closed(id);
    }

    fn close_idle(&mut self, outcomes: &mut Outcomes) {
        for (id, idle) in self.idle.drain() {
            self.pool.closed(id);
            outcomes.closed.push(idle);
        }
    }
}

/// A statement that waits; leaves the queue when it is dropped.
struct QueuedPlace<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    ticket: Ticket,
}

impl Drop for QueuedPlace<'_> {
    fn drop(&mut self) {
        drop(self.dispatcher.lock().queue.withdraw(self.ticket));
    }
}

fn pool_settings(settings: &DispatchSettings) -> PoolSettings {
    let usual = PoolSettings::for_database(settings.connection_limit, settings.slots);
    PoolSettings {
        backoff: RECONNECT,
        ..usual
    }
}

fn refusal_of(error: &BackendError) -> Refusal {
    match error {
        BackendError::Refused { sqlstate, .. } if sqlstate == TOO_MANY_CONNECTIONS => {
            Refusal::TooManyConnections
        }
        BackendError::Refused { sqlstate, .. } if sqlstate == CANNOT_CONNECT_NOW => {
            Refusal::CannotConnectNow
        }
        _ => Refusal::Unreachable,
    }
}

fn turned_away(rejected: Rejected<Waiter>) -> TurnedAway {
    let reason = match rejected.reason {
        RejectionReason::QueueFull => NotRunReason::QueueFull,
        RejectionReason::DeadlinePassed => NotRunReason::DeadlinePassed,
    };
    TurnedAway {
        reason,
        retry_after: rejected.retry_after,
    }
}

fn dropped() -> TurnedAway {
    TurnedAway {
        reason: NotRunReason::Refused,
        retry_after: Duration::ZERO,
    }
}
