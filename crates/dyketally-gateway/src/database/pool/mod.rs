//! This node's connections to one database: opened on demand, handed out by priority.
//!
//! A gate limits what is in flight. A statement whose wait behind others would be longer than its patience
//! is refused as it comes, see [`crate::decision::admit`].

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

use crate::database::claim::{Claim, Work};
use crate::database::connection::{Answer, Connection, Connector, OpenError};
use crate::database::pacer::Pacer;
use crate::measures::{Handed, Measures, Stage};
use crate::ports::DatabaseUser;

pub use self::checkout::{Checkout, RunError};
use self::guards::{Held, Running};
pub use self::opening::OPEN_LIMIT;
use self::path::Path;
use self::size::Size;
use self::waiting::{Waiter, Want};

/// Priority of the gateway's own exchanges: before all callers.
pub const OWN_PRIORITY: u32 = 0;
/// Priority of transactions that go on.
const FIRST: u32 = 0;
/// How long a transaction that goes on waits before it looks again, should a wake-up be missed. Not
/// measured.
const TURN_LOOK: Duration = Duration::from_secs(1);
/// What opening a connection counts while a database is cold, in requests: it costs a database about as
/// much as one. Not measured.
const CONNECTING_COSTS: u32 = 1;

/// Why no connection was handed out.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CheckoutError {
    /// All connections stayed in use until the limit of the wait.
    #[error("all connections of this node to the database stayed in use")]
    Exhausted,
    /// Those that wait already would use up the limit of the wait.
    #[error("too many statements wait for the database")]
    QueueTooLong,
    /// The database is cold, and this node sends nothing more to it for now.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// A connection could not be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
}

/// How a pool stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStatus {
    /// Connections that are open or being opened.
    pub open: u32,
    /// Those of them that nobody uses.
    pub idle: u32,
    /// Those that transactions keep.
    pub pinned: u32,
    /// How many may be open.
    pub limit: u32,
    /// Statements that wait for one, or for a turn.
    pub waiting: u32,
}

/// Connections of this node to one database.
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
    /// Connections that transactions keep.
    pinned: Cell<u32>,
    /// What is in flight, and how long others wait.
    gate: RefCell<Gate>,
    /// How fast the database may be loaded.
    pacer: Rc<Pacer>,
    /// True while a task wakes the waiters of a cold database one after the other.
    pacing: Cell<bool>,
    started: Instant,
    measures: Rc<Measures>,
}

impl Pool {
    /// A pool without connections.
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
            pacing: Cell::new(false),
            started: Instant::now(),
            measures,
        })
    }

    /// How it stands.
    pub fn status(&self) -> PoolStatus {
        PoolStatus {
            open: self.open.get(),
            idle: self.idle.borrow().len() as u32,
            pinned: self.pinned.get(),
            limit: self.size.limit(),
            waiting: self.waiters.borrow().len() as u32,
        }
    }

    /// Applies the database's number of slots, and how many nodes share them.
    pub fn share_out(&self, slots: u32, holders: usize) {
        self.gate.borrow_mut().share_out(slots, holders);
        self.wake_next();
    }

    /// Hands out a connection, the one that suits `values` best, by `until` at the latest.
    ///
    /// # Errors
    /// None is free in time, or a new one can't be opened.
    pub async fn checkout(
        self: &Rc<Self>,
        values: &BTreeMap<String, String>,
        claim: Claim,
    ) -> Result<Checkout, CheckoutError> {
        let began = Instant::now();
        loop {
            if self.admits(claim.priority, Want::Connection(claim.work)) {
                if let Some(connection) = self.take_idle(claim.user.as_ref(), values) {
                    self.measures.spent(Stage::Queue, began.elapsed());
                    self.handed_out(Handed::Idle);
                    let held = Held::take(self, &claim);
                    return Ok(Checkout::new(self.clone(), connection, held));
                }
                if let Some(how) = self.make_room() {
                    self.measures.spent(Stage::Queue, began.elapsed());
                    self.handed_out(how);
                    let held = Held::take(self, &claim);
                    let user = claim.user.unwrap_or(DatabaseUser::Gateway);
                    let costs = match claim.work {
                        Work::Control => 0,
                        Work::Statements | Work::Transaction => CONNECTING_COSTS,
                    };
                    self.pacer.turn(costs).await?;
                    return self.open_one(user, claim.until, held).await;
                }
            }
            // How long a queue for a cold database takes is known beforehand, so it may be longer: there
            // the urgent overtake the others.
            let patience = match self.pacer.is_cold() {
                true => claim.patience.burst,
                false => self.gate.borrow().patience(self.now(), claim.patience),
            };
            let expected = self.gate.borrow().expected_wait(claim.priority);
            if expected.is_some_and(|expected| expected > patience) {
                return Err(CheckoutError::QueueTooLong);
            }
            self.await_load(claim.priority, patience)?;
            let until = claim.until.min(Instant::now() + patience);
            self.wait(claim.priority, Want::Connection(claim.work), until)
                .await?;
        }
    }

    /// Waits until a transaction that keeps a connection may go on: before all who have yet to begin.
    async fn turn(self: &Rc<Self>) -> Running {
        while !self.admits(FIRST, Want::Turn) {
            // A wait that ran out is repeated: the caller drops this future when it stops waiting.
            let _ = self
                .wait(FIRST, Want::Turn, Instant::now() + TURN_LOOK)
                .await;
        }
        Running::begin(self)
    }

    fn note_answers(&self, answers: &[Answer], elapsed: Duration) {
        let busy = |answer: &Answer| matches!(&answer.end, Err(failure) if failure.kind == FailureKind::Busy);
        let mut gate = self.gate.borrow_mut();
        match answers.iter().any(busy) {
            true => gate.turned_away(self.now()),
            false => gate.ran(elapsed),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// The idle connection of `user` that suits `values` best; of any user if none is given.
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
            let best = indexed.min_by_key(|(_, connection)| connection.distance(values));
            let index = best.map(|(index, _)| index)?;
            let connection = idle.swap_remove(index);
            drop(idle);
            if !connection.is_stale() {
                return Some(connection);
            }
            if connection.was_closed() {
                self.pacer.may_have_restarted();
            }
            self.closed();
        }
    }

    fn handed_out(&self, how: Handed) {
        self.measures.handed_out(self.group.as_str(), how);
    }

    fn closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        self.wake_next();
    }
}
