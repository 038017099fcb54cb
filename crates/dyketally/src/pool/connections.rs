//! The connection pool of one database.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::connection::{ConnectionId, PoolAction, Refusal, ReleaseCondition, State};
use super::holdings::{Capacity, Holdings};
use super::learned_limit::LearnedLimit;
use super::settings::PoolSettings;
use super::status::{PoolCounters, PoolStatus};
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// The connections to one database and the tenants that hold them.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    limit: LearnedLimit,
    holdings: Holdings,
    connections: BTreeMap<ConnectionId, State>,
    /// Idle connections, the one that has been idle for the longest time first.
    idle: BTreeSet<(Timestamp, ConnectionId)>,
    connecting: u32,
    closing: u32,
    /// Number of refusals since a connection was last opened.
    refusals: u32,
    /// No connection is opened before this time.
    connect_after: Timestamp,
    leaving: bool,
    next_connection: u64,
    counters: PoolCounters,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings) -> Self {
        Pool {
            limit: LearnedLimit::new(settings.connection_limit),
            settings,
            holdings: Holdings::default(),
            connections: BTreeMap::new(),
            idle: BTreeSet::new(),
            connecting: 0,
            closing: 0,
            refusals: 0,
            connect_after: Timestamp::ZERO,
            leaving: false,
            next_connection: 0,
            counters: PoolCounters::default(),
        }
    }

    /// Changes the settings. Connections in excess of a lower limit are closed once they are released.
    pub fn configure(&mut self, settings: PoolSettings) {
        self.limit.configure(settings.connection_limit);
        self.settings = settings;
    }

    /// Records that the tenant has a fresh statement that waits for a connection. The connections are shared
    /// between the tenants that hold connections or have recently waited for one.
    pub fn record_demand(&mut self, now: Timestamp, tenant: &TenantName, weight: u32) {
        self.holdings.record_demand(now, tenant, weight);
    }

    /// True when [`acquire`](Self::acquire) would return a connection.
    pub fn can_acquire(&self, tenant: &TenantName) -> bool {
        let may_hold_another = || self.holdings.may_hold_another(tenant, self.capacity());
        !self.leaving && !self.idle.is_empty() && may_hold_another()
    }

    /// Takes a connection for a fresh statement: the most recently used one, so that the others can reach their
    /// idle timeout. `None` when no connection is idle or the tenant already holds its share; to be tried again
    /// when a connection is released.
    pub fn acquire(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        weight: u32,
    ) -> Option<ConnectionId> {
        self.holdings.record_demand(now, tenant, weight);
        if !self.can_acquire(tenant) {
            return None;
        }
        let (_, connection) = self.idle.pop_last()?;
        self.holdings.acquire(tenant);
        let busy = State::Busy {
            tenant: tenant.clone(),
        };
        self.connections.insert(connection, busy);
        self.counters.used += 1;
        Some(connection)
    }

    /// Records that the statement on this connection opened a transaction, which keeps the connection until it ends.
    pub fn pin(&mut self, connection: ConnectionId) {
        match self.connections.get_mut(&connection) {
            Some(state @ State::Busy { .. }) => {
                if let Some(tenant) = state.holder().cloned() {
                    *state = State::Pinned { tenant };
                }
            }
            Some(State::Pinned { .. }) => {}
            _ => self.counters.unexpected_reports += 1,
        }
    }

    /// Returns a connection whose statement or transaction has ended. The result says whether to close it.
    pub fn release(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        condition: ReleaseCondition,
    ) -> Option<PoolAction> {
        let state = self.connections.get(&connection);
        let Some(tenant) = state.and_then(State::holder).cloned() else {
            self.counters.unexpected_reports += 1;
            return None;
        };
        self.holdings.release(&tenant);
        if condition == ReleaseCondition::Dirty {
            self.counters.returned_dirty += 1;
            return Some(self.close(connection));
        }
        self.keep_or_close(now, connection)
    }

    /// Records that a connection has been opened. The result says whether to close it at once.
    pub fn connected(&mut self, now: Timestamp, connection: ConnectionId) -> Option<PoolAction> {
        if self.connections.get(&connection) != Some(&State::Connecting) {
            self.counters.unexpected_reports += 1;
            return None;
        }
        self.connecting -= 1;
        self.refusals = 0;
        self.counters.opened += 1;
        self.keep_or_close(now, connection)
    }

    /// Records that a connection could not be opened.
    pub fn refused(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        refusal: Refusal,
        random: &mut impl Rng,
    ) {
        if self.connections.get(&connection) != Some(&State::Connecting) {
            self.counters.unexpected_reports += 1;
            return;
        }
        self.connections.remove(&connection);
        self.connecting -= 1;
        self.count_refusal(refusal);
        if refusal == Refusal::TooManyConnections {
            self.limit.refused(now, self.established());
        }
        self.refusals = self.refusals.saturating_add(1);
        let delay = self.settings.backoff.delay(self.refusals, random);
        self.connect_after = self.connect_after.max(now + delay);
    }

    /// Records that a connection has ended, whether or not the pool requested it.
    pub fn closed(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.remove(&connection) else {
            self.counters.unexpected_reports += 1;
            return;
        };
        match &state {
            State::Closing => {
                self.closing -= 1;
                return;
            }
            State::Connecting => self.connecting -= 1,
            State::Idle { since } => {
                self.idle.remove(&(*since, connection));
            }
            State::Busy { tenant } | State::Pinned { tenant } => self.holdings.release(tenant),
        }
        self.counters.lost += 1;
    }

    /// The connections to open and to close now. `demand` is the number of fresh statements that could run at
    /// once if they had a connection: the waiting ones, but at most the number of free slots.
    pub fn poll(&mut self, now: Timestamp, demand: u32) -> Vec<PoolAction> {
        self.limit.advance(now);
        self.holdings.forget_inactive(now);
        let mut actions = self.close_surplus(now);
        actions.extend((0..self.connections_to_open(now, demand)).map(|_| self.open()));
        actions
    }

    /// When [`poll`](Self::poll) has to be called again if no other event occurs before; `None` if not at all.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let oldest = self.idle.first();
        let expiry = oldest
            .filter(|_| self.established() > self.settings.minimum_open)
            .map(|(since, _)| *since + self.settings.idle_timeout);
        let connect = (self.connect_after > now).then_some(self.connect_after);
        [expiry, connect, self.limit.next_step()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Records that the database is leaving: no connection can be acquired or opened until
    /// [`end_drain`](Self::end_drain). [`poll`](Self::poll) closes the idle connections; those in use are closed when
    /// they are released.
    pub fn begin_drain(&mut self) {
        self.leaving = true;
    }

    /// Records that the database is no longer leaving.
    pub fn end_drain(&mut self) {
        self.leaving = false;
    }

    /// Closes the connections that are still in use. For the end of a drain.
    pub fn close_in_use(&mut self) -> Vec<PoolAction> {
        let states = self.connections.iter();
        let held: Vec<(ConnectionId, TenantName)> = states
            .filter_map(|(connection, state)| Some((*connection, state.holder()?.clone())))
            .collect();
        held.into_iter()
            .map(|(connection, tenant)| {
                self.holdings.release(&tenant);
                self.close(connection)
            })
            .collect()
    }

    /// True when no connection is open, opening or closing.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    /// The pool's status for operators.
    pub fn status(&self) -> PoolStatus {
        let count = |is: fn(&State) -> bool| {
            let matching = self.connections.values().filter(|state| is(state)).count();
            u32::try_from(matching).unwrap_or(u32::MAX)
        };
        PoolStatus {
            connection_limit: self.limit.configured(),
            learned_limit: self.limit.current(),
            connecting: self.connecting,
            idle: count(|state| matches!(state, State::Idle { .. })),
            busy: count(|state| matches!(state, State::Busy { .. })),
            pinned: count(|state| matches!(state, State::Pinned { .. })),
            closing: self.closing,
            held: self.holdings.by_tenant(),
            counters: self.counters,
        }
    }

    fn capacity(&self) -> Capacity {
        let limit = self.limit.current();
        Capacity {
            limit,
            reserve: self.settings.reserve.min(limit / 2),
        }
    }

    /// Number of connections in any state: each of them may count towards the database's limit.
    fn total(&self) -> u32 {
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }

    /// Number of connections that are open and not being closed.
    fn established(&self) -> u32 {
        self.total() - self.connecting - self.closing
    }

    /// Makes a connection idle, or closes it when the database is leaving or the limit is exceeded.
    fn keep_or_close(&mut self, now: Timestamp, connection: ConnectionId) -> Option<PoolAction> {
        let others = self.total() - self.closing - 1;
        if self.leaving || others >= self.limit.current() {
            self.counters.retired += 1;
            return Some(self.close(connection));
        }
        self.connections
            .insert(connection, State::Idle { since: now });
        self.idle.insert((now, connection));
        None
    }

    fn close(&mut self, connection: ConnectionId) -> PoolAction {
        self.connections.insert(connection, State::Closing);
        self.closing += 1;
        PoolAction::Close { connection }
    }

    fn open(&mut self) -> PoolAction {
        let connection = ConnectionId(self.next_connection);
        self.next_connection += 1;
        self.connections.insert(connection, State::Connecting);
        self.connecting += 1;
        PoolAction::Open { connection }
    }

    /// Closes the idle connections that have reached their idle timeout or exceed the limit, oldest first.
    fn close_surplus(&mut self, now: Timestamp) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        while let Some((since, connection)) = self.idle.first().copied() {
            if !self.is_surplus(now, since) {
                break;
            }
            self.idle.pop_first();
            self.counters.retired += 1;
            actions.push(self.close(connection));
        }
        actions
    }

    fn is_surplus(&self, now: Timestamp, idle_since: Timestamp) -> bool {
        let open = self.total() - self.closing;
        let expired = idle_since + self.settings.idle_timeout <= now;
        let spare = self.established() > self.settings.minimum_open;
        self.leaving || open > self.limit.current() || (expired && spare)
    }

    /// Number of connections to open now.
    fn connections_to_open(&self, now: Timestamp, demand: u32) -> u32 {
        if self.leaving || now < self.connect_after {
            return 0;
        }
        let idle = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        let for_demand = demand.saturating_sub(idle + self.connecting);
        let open = self.total() - self.closing;
        let for_minimum = self.settings.minimum_open.saturating_sub(open);
        let room = self.limit.current().saturating_sub(self.total());
        // After a refusal, only one connection at a time is opened, to test whether the database accepts others.
        let concurrent = if self.refusals > 0 {
            1
        } else {
            self.settings.concurrent_connects
        };
        let may_begin = concurrent.saturating_sub(self.connecting);
        for_demand.max(for_minimum).min(room).min(may_begin)
    }

    fn count_refusal(&mut self, refusal: Refusal) {
        let counter = match refusal {
            Refusal::TooManyConnections => &mut self.counters.refused_too_many,
            Refusal::CannotConnectNow => &mut self.counters.refused_cannot_connect,
            Refusal::Unreachable => &mut self.counters.unreachable,
        };
        *counter += 1;
    }
}
