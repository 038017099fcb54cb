//! Gives statements their slot and connection: the fair queue and the pool of one database,
//! decided together, and the tasks that open connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dyketally::admission::{
    Expired, QueueStatus, Rejected, RejectionReason, Stage, Submission, Ticket,
};
use dyketally::outcome::NotRunReason;
use dyketally::pool::{ConnectionId, PoolStatus, Refusal, ReleaseCondition};
use dyketally::time::Timestamp;
use tokio::sync::{Notify, oneshot, watch};

use super::admission::{AdmissionRequest, DispatchSettings, Reachability, TurnedAway};
use super::backend::{BackendError, BackendStream};
use super::connection::Connection;
use super::dispatch_state::{DispatchState, IdleConnection, Outcomes, Waiter};
use super::grant::Grant;
use crate::clock::now;

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Longest time between two looks at what is due.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

const TOO_MANY_CONNECTIONS: &str = "53300";
const CANNOT_CONNECT_NOW: &str = "57P03";

/// The queue and the connections of one database.
#[derive(Debug)]
pub struct Dispatcher {
    state: Mutex<DispatchState>,
    reachability: watch::Sender<Reachability>,
    rescheduled: Notify,
}

impl Dispatcher {
    /// A dispatcher without connections.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            state: Mutex::new(DispatchState::new(settings)),
            reachability: watch::Sender::new(Reachability::Granting),
            rescheduled: Notify::new(),
        }
    }

    /// Replaces the settings. Idle connections to another address are closed.
    pub fn configure(self: &Arc<Self>, settings: DispatchSettings) {
        self.change(|state, outcomes| state.configure(settings, outcomes));
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
        let latest_start = self.lock().queue.latest_start(ticket);
        let give_up = latest_start.unwrap_or(deadline);
        loop {
            let left = give_up.saturating_since(now());
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
            true => state.pool.begin_drain(),
            false => state.pool.end_drain(),
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
            // What is due is looked up again either way.
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
                state
                    .pool
                    .record_demand(now, &submission.tenant, submission.weight);
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
        RejectionReason::QueueFull | RejectionReason::WaitTooLong => NotRunReason::QueueFull,
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
