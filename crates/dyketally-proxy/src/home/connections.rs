//! The connections to one database: opened up to a limit, reused only when nothing is left over.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dyketally::time::Timestamp;
use tokio::sync::Notify;

use super::backend::{BackendError, BackendLogin, BackendStream};
use super::connection::Connection;
use super::counters::HomeCounters;
use crate::clock::now;

/// Longest time to open a connection.
pub const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Where and how connections are opened, and how many.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Where the database accepts connections.
    pub address: SocketAddr,
    /// How to log in.
    pub login: BackendLogin,
    /// Connections that may be open at one time.
    pub limit: u32,
}

#[derive(Debug)]
struct PoolState {
    settings: PoolSettings,
    idle: VecDeque<IdleConnection>,
    open: u32,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Box<Connection>,
    opened_at: Timestamp,
}

/// The connections to one database.
#[derive(Debug)]
pub struct ConnectionPool {
    state: Mutex<PoolState>,
    released: Notify,
    counters: Arc<HomeCounters>,
}

/// Counts of a pool's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Open connections, or ones being opened.
    pub open: u32,
    /// Open connections that nobody uses.
    pub idle: u32,
    /// Connections that may be open.
    pub limit: u32,
}

enum Claim {
    Idle(IdleConnection),
    Open(PoolSettings),
    None,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(settings: PoolSettings, counters: Arc<HomeCounters>) -> Self {
        let state = PoolState {
            settings,
            idle: VecDeque::new(),
            open: 0,
        };
        Self {
            state: Mutex::new(state),
            released: Notify::new(),
            counters,
        }
    }

    /// Replaces the settings. Idle connections to another address are closed.
    pub fn update(&self, settings: PoolSettings) {
        let mut state = self.lock();
        let moved = state.settings.address != settings.address;
        state.settings = settings;
        if moved {
            state.open -= state.idle.len() as u32;
            state.idle.clear();
        }
        drop(state);
        self.released.notify_waiters();
    }

    /// Takes an idle connection or opens one; waits while the limit is reached.
    pub async fn acquire(self: &Arc<Self>) -> Result<PooledConnection, BackendError> {
        loop {
            let released = self.released.notified();
            match self.claim() {
                Claim::Idle(idle) => return Ok(self.pooled(idle)),
                Claim::Open(settings) => return self.open(settings).await,
                Claim::None => released.await,
            }
        }
    }

    /// Counts of the connections.
    pub fn counts(&self) -> PoolCounts {
        let state = self.lock();
        PoolCounts {
            open: state.open,
            idle: state.idle.len() as u32,
            limit: state.settings.limit,
        }
    }

    /// Opens connections until `target` are idle or the limit is reached.
    pub async fn warm_up(self: &Arc<Self>, target: u32) -> Result<(), BackendError> {
        while let Some(settings) = self.claim_spare(target) {
            drop(self.open(settings).await?);
        }
        Ok(())
    }

    fn claim(&self) -> Claim {
        let mut state = self.lock();
        while let Some(mut idle) = state.idle.pop_back() {
            if idle.connection.is_reusable() {
                return Claim::Idle(idle);
            }
            state.open -= 1;
            self.counters.connections_closed.increment();
        }
        if state.open >= state.settings.limit {
            return Claim::None;
        }
        state.open += 1;
        Claim::Open(state.settings.clone())
    }

    fn claim_spare(&self, target: u32) -> Option<PoolSettings> {
        let mut state = self.lock();
        if state.idle.len() as u32 >= target || state.open >= state.settings.limit {
            return None;
        }
        state.open += 1;
        Some(state.settings.clone())
    }

    /// Opens a connection that `claim` has counted already.
    async fn open(
        self: &Arc<Self>,
        settings: PoolSettings,
    ) -> Result<PooledConnection, BackendError> {
        let mut place = ClaimedPlace {
            pool: Arc::clone(self),
            filled: false,
        };
        let opened_at = now();
        let stream =
            BackendStream::connect(settings.address, &settings.login, CONNECT_LIMIT).await?;
        place.filled = true;
        self.counters.connections_opened.increment();
        let connection = Box::new(Connection::new(stream));
        Ok(self.pooled(IdleConnection {
            connection,
            opened_at,
        }))
    }

    fn pooled(self: &Arc<Self>, idle: IdleConnection) -> PooledConnection {
        PooledConnection {
            pool: Arc::clone(self),
            opened_at: idle.opened_at,
            connection: Some(idle.connection),
        }
    }

    fn release(&self, mut connection: Box<Connection>, opened_at: Timestamp) {
        let reusable = connection.is_reusable();
        let mut state = self.lock();
        if reusable && state.open <= state.settings.limit {
            state.idle.push_back(IdleConnection {
                connection,
                opened_at,
            });
        } else {
            state.open -= 1;
            self.counters.connections_closed.increment();
        }
        drop(state);
        self.released.notify_one();
    }

    fn give_up_place(&self) {
        self.lock().open -= 1;
        self.released.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place under the limit for a connection that is being opened.
struct ClaimedPlace {
    pool: Arc<ConnectionPool>,
    filled: bool,
}

impl Drop for ClaimedPlace {
    fn drop(&mut self) {
        if !self.filled {
            self.pool.give_up_place();
        }
    }
}

/// A connection in use. Dropping it returns it to the pool, or closes it when it can't be reused.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<ConnectionPool>,
    connection: Option<Box<Connection>>,
    opened_at: Timestamp,
}

impl PooledConnection {
    /// When the connection was opened.
    pub fn opened_at(&self) -> Timestamp {
        self.opened_at
    }

    /// The connection itself.
    pub fn get(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a pooled connection holds its connection until it is dropped")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(connection, self.opened_at);
        }
    }
}
