//! The fair queue and the pool of one database as one state, changed under one lock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dyketally::admission::{Admitted, FairQueue, Stage};
use dyketally::pool::{ConnectionId, Pool, PoolAction, PoolSettings};
use dyketally::retry::Backoff;
use dyketally::time::Timestamp;
use tokio::sync::oneshot;

use super::admission::{DispatchSettings, TurnedAway};
use super::connection::Connection;
use super::dispatch::Dispatcher;
use super::grant::{Grant, PooledConnection, Slot};
use crate::clock::now;

/// Pauses between attempts to connect. Short, as a write may wait for a primary that restarts.
const RECONNECT: Backoff = Backoff {
    first: Duration::from_millis(20),
    longest: Duration::from_millis(250),
};

/// A statement that waits for its grant.
#[derive(Debug)]
pub(super) struct Waiter {
    pub weight: u32,
    pub answer: oneshot::Sender<Result<Grant, TurnedAway>>,
}

/// The queue, the pool, and the idle connections that the pool accounts for.
#[derive(Debug)]
pub(super) struct DispatchState {
    pub settings: DispatchSettings,
    pub queue: FairQueue<Waiter>,
    pub pool: Pool,
    idle: HashMap<ConnectionId, IdleConnection>,
}

/// A connection that nobody uses.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub connection: Box<Connection>,
    pub opened_at: Timestamp,
}

/// What to do once the state is unlocked.
#[derive(Default)]
pub(super) struct Outcomes {
    pub granted: Vec<(Waiter, Grant)>,
    pub open: Vec<ConnectionId>,
    pub closed: Vec<IdleConnection>,
}

impl DispatchState {
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            queue: FairQueue::new(settings.slots),
            pool: Pool::new(pool_settings(&settings)),
            idle: HashMap::new(),
            settings,
        }
    }

    /// Replaces the settings. Idle connections to another address are closed.
    pub fn configure(&mut self, settings: DispatchSettings, outcomes: &mut Outcomes) {
        if self.settings.address != settings.address {
            self.close_idle(outcomes);
        }
        self.queue.set_slots(settings.slots);
        self.pool.configure(pool_settings(&settings));
        self.settings = settings;
    }

    /// Grants what can be granted, and tells the connections to open and to close.
    pub fn advance(&mut self, dispatcher: &Arc<Dispatcher>, outcomes: &mut Outcomes) {
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

    /// Takes a connection that came back or was opened; closes one if `action` says so.
    pub fn keep_or_close(
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

fn pool_settings(settings: &DispatchSettings) -> PoolSettings {
    let usual = PoolSettings::for_database(settings.connection_limit, settings.slots);
    PoolSettings {
        backoff: RECONNECT,
        ..usual
    }
}
