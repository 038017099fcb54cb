//! The pool of one database's connections.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::connection::{ConnectionId, PoolAction, Refusal, ReleaseCondition, State};
use super::holdings::{Holdings, Supply};
use super::learned_limit::LearnedLimit;
use super::settings::PoolSettings;
use super::status::{PoolCounters, PoolStatus};
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Connections to one database and who holds them.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    limit: LearnedLimit,
    holdings: Holdings,
    connections: BTreeMap<ConnectionId, State>,
    /// Idle connections, the one that has been idle for longest first.
    idle: BTreeSet<(Timestamp, ConnectionId)>,
    connecting: u32,
    closing: u32,
    /// Refusals since a connection was last granted.
    failures: u32,
    /// No connection is opened before this time.
    connect_after: Timestamp,
    leaving: bool,
    next_connection: u64,
    counters: PoolCounters,
}

impl Pool {
    /// A pool without connections.
    pub fn new(settings: PoolSettings) -> Self {
        Pool {
            limit: LearnedLimit::new(settings.connection_limit),
            settings,
            holdings: Holdings::default(),
            connections: BTreeMap::new(),
            idle: BTreeSet::new(),
            connecting: 0,
            closing: 0,
            failures: 0,
            connect_after: Timestamp::ZERO,
            leaving: false,
            next_connection: 0,
            counters: PoolCounters::default(),
        }
    }

    /// Changes the settings. Connections beyond a lower limit are closed as they come back.
    pub fn configure(&mut self, settings: PoolSettings) {
        self.limit.configure(settings.connection_limit);
        self.settings = settings;
    }

    /// The tenant has a fresh statement that waits for a connection. Shares are divided between
    /// the tenants that have asked of late or hold connections.
    pub fn ask(&mut self, now: Timestamp, tenant: &TenantName, weight: u32) {
        self.holdings.ask(now, tenant, weight);
    }

    /// Whether [`acquire`](Self::acquire) would yield a connection.
    pub fn can_acquire(&self, tenant: &TenantName) -> bool {
        let may_hold = || self.holdings.may_hold_another(tenant, self.supply());
        !self.leaving && !self.idle.is_empty() && may_hold()
    }

    /// A connection for a fresh statement, the one used last first, so that others can expire.
    /// `None` when none is idle or the tenant holds its share: wait, and ask again when a
    /// connection comes back.
    pub fn acquire(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        weight: u32,
    ) -> Option<ConnectionId> {
        self.holdings.ask(now, tenant, weight);
        if !self.can_acquire(tenant) {
            return None;
        }
        let (_, connection) = self.idle.pop_last()?;
        self.holdings.take(tenant);
        let busy = State::Busy {
            tenant: tenant.clone(),
        };
        self.connections.insert(connection, busy);
        self.counters.used += 1;
        Some(connection)
    }

    /// The statement on this connection opened a transaction: the connection stays with it.
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

    /// The statement or transaction on this connection is over.
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
        self.holdings.give_back(&tenant);
        if condition == ReleaseCondition::Dirty {
            self.counters.returned_dirty += 1;
            return Some(self.close(connection));
        }
        self.keep_or_close(now, connection)
    }

    /// A connection that was to be opened is there.
    pub fn connected(&mut self, now: Timestamp, connection: ConnectionId) -> Option<PoolAction> {
        if self.connections.get(&connection) != Some(&State::Connecting) {
            self.counters.unexpected_reports += 1;
            return None;
        }
        self.connecting -= 1;
        self.failures = 0;
        self.counters.opened += 1;
        self.keep_or_close(now, connection)
    }

    /// A connection that was to be opened was not granted.
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
        self.failures = self.failures.saturating_add(1);
        let delay = self.settings.backoff.delay(self.failures, random);
        self.connect_after = self.connect_after.max(now + delay);
    }

    /// A connection has ended, whether it was asked to or not.
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
            State::Busy { tenant } | State::Pinned { tenant } => self.holdings.give_back(tenant),
        }
        self.counters.lost += 1;
    }

    /// Connections to open and to close now. `demand` is the number of fresh statements that
    /// could run at once if they had a connection: those that wait, but at most the free slots.
    pub fn poll(&mut self, now: Timestamp, demand: u32) -> Vec<PoolAction> {
        self.limit.advance(now);
        self.holdings.forget_idle(now);
        let mut actions = self.retire(now);
        actions.extend((0..self.missing(now, demand)).map(|_| self.open()));
        actions
    }

    /// When [`poll`](Self::poll) may have something to do without any other event.
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

    /// The database is leaving: gives out and opens no connection until
    /// [`readmit`](Self::readmit). [`poll`](Self::poll) closes the idle ones, and those in use
    /// are closed as they come back.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The database takes work again.
    pub fn readmit(&mut self) {
        self.leaving = false;
    }

    /// Closes the connections that are still in use, for the end of a drain.
    pub fn close_held(&mut self) -> Vec<PoolAction> {
        let states = self.connections.iter();
        let held: Vec<(ConnectionId, TenantName)> = states
            .filter_map(|(connection, state)| Some((*connection, state.holder()?.clone())))
            .collect();
        held.into_iter()
            .map(|(connection, tenant)| {
                self.holdings.give_back(&tenant);
                self.close(connection)
            })
            .collect()
    }

    /// Whether no connection is open, opening or closing.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    /// The pool as operators see it.
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

    fn supply(&self) -> Supply {
        let limit = self.limit.current();
        Supply {
            limit,
            reserve: self.settings.reserve.min(limit / 2),
        }
    }

    /// Connections of any state: each may count at the database.
    fn total(&self) -> u32 {
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }

    /// Connections that the database has granted and that are not being closed.
    fn established(&self) -> u32 {
        self.total() - self.connecting - self.closing
    }

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

    /// Closes idle connections that are too old or too many, oldest first.
    fn retire(&mut self, now: Timestamp) -> Vec<PoolAction> {
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

    /// How many connections to open now.
    fn missing(&self, now: Timestamp, demand: u32) -> u32 {
        if self.leaving || now < self.connect_after {
            return 0;
        }
        let idle = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        let for_demand = demand.saturating_sub(idle + self.connecting);
        let open = self.total() - self.closing;
        let for_minimum = self.settings.minimum_open.saturating_sub(open);
        let room = self.limit.current().saturating_sub(self.total());
        // After a refusal one connection at a time finds out whether others would be granted.
        let concurrent = if self.failures > 0 {
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
