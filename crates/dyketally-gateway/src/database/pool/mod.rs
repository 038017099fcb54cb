//! Pool of this node's connections to one database. Connections are opened on demand and checked out by
//! priority.
//!
//! A gate limits the number of statements in flight. A statement whose expected wait exceeds its queue timeout is
//! refused on arrival; see [`crate::decision::admit`].

mod checkout;
mod closing;
mod guards;
mod opening;
mod pacing;
mod path;
mod size;
mod waiting;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::admission::Gate;
use dyketally::eligibility::Denial;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::statement::FailureKind;
use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::database::connection::{Answer, Connection, Connector, OpenError};
use crate::database::connection_request::{ConnectionRequest, ConnectionUse};
use crate::database::pacer::Pacer;
use crate::measures::{Acquired, Measures, Stage};
use crate::ports::DatabaseUser;

pub use self::checkout::{Checkout, RunError};
use self::guards::{Guards, Running};
pub use self::opening::OPEN_TIMEOUT;
use self::path::Path;
use self::size::Size;
use self::waiting::{WaitFor, Waiter};

/// Priority of the gateway's own statements, ahead of all callers.
pub const GATEWAY_PRIORITY: u32 = 0;
/// Priority of further batches of open transactions.
const CONTINUATION_PRIORITY: u32 = 0;
/// Interval at which an open transaction that waits checks again whether it may continue, in case it missed a
/// wake-up.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of requests as which opening a connection counts against a cold database's rate: it costs the database
/// about as much as one request.
const OPENING_REQUESTS: u32 = 1;

/// Why no connection was checked out.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CheckoutError {
    /// No connection became free or could be opened before the wait limit.
    #[error("no connection of this node to the database became free within the wait limit")]
    Exhausted,
    /// The expected wait behind the requests in the queue exceeds the queue timeout.
    #[error("the expected wait for a connection to the database exceeds the queue timeout")]
    QueueTooLong,
    /// The database is cold, and its rate admits no further request of this node in time.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// A connection could not be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
}

/// Status of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStatus {
    /// Connections that are open or being opened.
    pub open: u32,
    /// Open connections that are idle.
    pub idle: u32,
    /// Open connections that transactions use.
    pub pinned: u32,
    /// Maximum number of open connections.
    pub limit: u32,
    /// Requests that wait for a connection or to continue a transaction.
    pub waiting: u32,
}

/// This node's connections to one database.
pub struct Pool {
    connector: Rc<Connector>,
    database: DatabaseName,
    group: GroupName,
    path: Path,
    idle: RefCell<Vec<Connection>>,
    open: Cell<u32>,
    size: Size,
    waiters: RefCell<Vec<Waiter>>,
    next_number: Cell<u64>,
    /// Connections that transactions use.
    pinned: Cell<u32>,
    /// Limits the statements in flight and estimates the wait of others.
    gate: RefCell<Gate>,
    /// Limits the rate of requests while the database is cold.
    pacer: Rc<Pacer>,
    /// True while a task wakes waiting requests at the rate of a cold database.
    waking_at_cold_rate: Cell<bool>,
    started: Instant,
    measures: Rc<Measures>,
}

impl Pool {
    /// A pool without connections, of which at most `limit` may be open.
    pub fn new(
        connector: Rc<Connector>,
        database: DatabaseName,
        group: GroupName,
        address: SocketAddr,
        limit: u32,
        pacer: Rc<Pacer>,
        measures: Rc<Measures>,
    ) -> Rc<Self> {
        Rc::new(Self {
            connector,
            database,
            group,
            path: Path::direct(address),
            idle: RefCell::default(),
            open: Cell::new(0),
            size: Size::new(limit),
            waiters: RefCell::default(),
            next_number: Cell::new(0),
            pinned: Cell::new(0),
            gate: RefCell::default(),
            pacer,
            waking_at_cold_rate: Cell::new(false),
            started: Instant::now(),
            measures,
        })
    }

    /// The current status.
    pub fn status(&self) -> PoolStatus {
        PoolStatus {
            open: self.open.get(),
            idle: self.idle.borrow().len() as u32,
            pinned: self.pinned.get(),
            limit: self.size.limit(),
            waiting: self.waiters.borrow().len() as u32,
        }
    }

    /// Sets the database's number of slots and the number of nodes that share them.
    pub fn set_slots(&self, slots: u32, holders: usize) {
        self.gate.borrow_mut().set_share(slots, holders);
        self.wake_next();
    }

    /// Checks out a connection, preferring the idle one that needs the fewest commands to get the session
    /// settings `values`.
    ///
    /// # Errors
    /// No connection becomes free in time, the queue is too long, the database is cold and admits no more, or a
    /// new connection can't be opened.
    pub async fn checkout(
        self: &Rc<Self>,
        values: &BTreeMap<String, String>,
        request: ConnectionRequest,
    ) -> Result<Checkout, CheckoutError> {
        let began = Instant::now();
        loop {
            if self.admits(
                request.priority,
                WaitFor::Connection(request.connection_use),
            ) {
                if let Some(connection) = self.take_idle(request.user.as_ref(), values) {
                    self.measures.record_stage(Stage::Queue, began.elapsed());
                    self.record_acquired(Acquired::Idle);
                    let guards = Guards::take(self, &request);
                    return Ok(Checkout::new(self.clone(), connection, guards));
                }
                if let Some(how) = self.make_room() {
                    self.measures.record_stage(Stage::Queue, began.elapsed());
                    self.record_acquired(how);
                    let guards = Guards::take(self, &request);
                    let user = request.user.unwrap_or(DatabaseUser::Gateway);
                    let requests = match request.connection_use {
                        ConnectionUse::Control => 0,
                        ConnectionUse::Statements | ConnectionUse::Transaction => OPENING_REQUESTS,
                    };
                    self.pacer.wait_to_send(requests).await?;
                    return self.open_one(user, request.deadline, guards).await;
                }
            }
            // A cold database's rate makes the wait predictable, so its queue may be longer; requests of higher
            // priority overtake others in it.
            let queue_timeout = match self.pacer.is_cold() {
                true => request.queue_timeout.burst,
                false => self
                    .gate
                    .borrow()
                    .queue_timeout(self.now(), request.queue_timeout),
            };
            let expected = self.gate.borrow().expected_wait(request.priority);
            if expected.is_some_and(|expected| expected > queue_timeout) {
                return Err(CheckoutError::QueueTooLong);
            }
            self.check_cold_wait(request.priority, queue_timeout)?;
            let until = request.deadline.min(Instant::now() + queue_timeout);
            self.wait(
                request.priority,
                WaitFor::Connection(request.connection_use),
                until,
            )
            .await?;
        }
    }

    /// Waits until the gate admits a further batch of an open transaction, ahead of requests without a connection.
    async fn wait_to_continue(self: &Rc<Self>) -> Running {
        while !self.admits(CONTINUATION_PRIORITY, WaitFor::Continuation) {
            // A wait that timed out is repeated; the caller drops this future when it stops waiting.
            let _ = self
                .wait(
                    CONTINUATION_PRIORITY,
                    WaitFor::Continuation,
                    Instant::now() + RECHECK_INTERVAL,
                )
                .await;
        }
        Running::begin(self)
    }

    /// Adjusts the gate to the answers of a batch, which took `elapsed`.
    fn record_answers(&self, answers: &[Answer], elapsed: Duration) {
        let busy = |answer: &Answer| matches!(&answer.end, Err(failure) if failure.kind == FailureKind::Busy);
        let mut gate = self.gate.borrow_mut();
        match answers.iter().any(busy) {
            true => gate.record_rejection(self.now()),
            false => gate.record_answer(elapsed),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Takes the idle connection of `user`, or of any user if `None`, that needs the fewest commands to get the
    /// settings `values`. Closes stale connections that it finds.
    fn take_idle(
        &self,
        user: Option<&DatabaseUser>,
        values: &BTreeMap<String, String>,
    ) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let indexed = idle.iter().enumerate().rev();
            let indexed =
                indexed.filter(|(_, connection)| user.is_none_or(|user| connection.user() == user));
            let best = indexed.min_by_key(|(_, connection)| connection.adoption_cost(values));
            let index = best.map(|(index, _)| index)?;
            let connection = idle.swap_remove(index);
            drop(idle);
            if !connection.is_stale() {
                return Some(connection);
            }
            if connection.was_closed() {
                self.pacer.record_possible_restart();
            }
            self.connection_closed();
        }
    }

    fn record_acquired(&self, how: Acquired) {
        self.measures.count_acquired(self.group.as_str(), how);
    }

    fn connection_closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        self.wake_next();
    }
}
