//! This node's connections to one database: opened on demand, handed out by priority.

mod checkout;
mod closing;
mod guards;
mod pacing;
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
use crate::database::connection::{Answer, Connection, OpenError, Route};
use crate::database::loading::Loading;
use crate::measures::{Handed, Measures, Stage};
use crate::ports::{DatabaseUser, SharedDatabaseProtocol};

pub use self::checkout::{Checkout, RunError};
use self::guards::{Held, OpenSlot, Running};
use self::waiting::{Waiter, Want};

/// Longest time that opening a connection may take.
pub const OPEN_LIMIT: Duration = Duration::from_millis(500);
/// How long the last idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// How long further idle connections are kept. Connections of a process that lost power count at
/// the database for seconds, so few of them should stand open without need.
const SURPLUS_IDLE_LIMIT: Duration = Duration::from_millis(400);
/// How long the pool stays within the size at which the database refused to grow it.
const REFUSAL_HOLDS: Duration = Duration::from_secs(2);

/// Priority of the gateway's own exchanges: before all callers.
pub const OWN_PRIORITY: u32 = 0;
/// Priority of transactions that go on.
const FIRST: u32 = 0;
/// How long a transaction that goes on waits before it looks again.
const TURN_LOOK: Duration = Duration::from_secs(1);
/// One in so many connections is kept free of transactions.
const RESERVED_SHARE: u32 = 4;
/// What opening a connection counts while a database is cold, in requests.
const CONNECTING_COSTS: u32 = 1;
/// How long a relay is used without being found again.
const RELAY_HOLDS: Duration = Duration::from_millis(2_500);

/// Why no connection was handed out.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CheckoutError {
    /// All connections stayed in use until the limit of the wait.
    #[error("all connections of this node to the database stayed in use")]
    Exhausted,
    /// Whoever waits already would use up the limit of the wait.
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
    /// Who waits for one, or for a turn.
    pub waiting: u32,
}

/// Connections of this node to one database.
pub struct Pool {
    protocol: SharedDatabaseProtocol,
    database: DatabaseName,
    group: GroupName,
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    open: Cell<u32>,
    limit: Cell<u32>,
    keeps: Cell<bool>,
    refused: Cell<Option<(u32, Instant)>>,
    relay: Cell<Option<(SocketAddr, Instant)>>,
    waiters: RefCell<Vec<Waiter>>,
    next_number: Cell<u64>,
    /// Connections that transactions keep.
    pinned: Cell<u32>,
    /// What is in flight, and how long others wait.
    gate: RefCell<Gate>,
    /// How fast the database may be loaded.
    loading: Rc<Loading>,
    /// True while a task wakes the waiters of a cold database one after the other.
    pacing: Cell<bool>,
    started: Instant,
    measures: Rc<Measures>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(
        protocol: SharedDatabaseProtocol,
        database: DatabaseName,
        group: GroupName,
        address: SocketAddr,
        limit: u32,
        loading: Rc<Loading>,
        measures: Rc<Measures>,
    ) -> Rc<Self> {
        Rc::new(Self {
            protocol,
            database,
            group,
            address,
            idle: RefCell::default(),
            open: Cell::new(0),
            limit: Cell::new(limit),
            keeps: Cell::new(true),
            refused: Cell::new(None),
            relay: Cell::new(None),
            waiters: RefCell::default(),
            next_number: Cell::new(0),
            pinned: Cell::new(0),
            gate: RefCell::default(),
            loading,
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
            limit: self.effective_limit(),
            waiting: self.waiters.borrow().len() as u32,
        }
    }

    /// Where the pool's database accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reaches the database by way of another node for a while. Connections that are idle now run
    /// over a path that is broken, so they are closed.
    pub fn relay_by(&self, relay: SocketAddr) {
        if self.relay.get().is_none() {
            self.close_idle(true);
        }
        self.relay.set(Some((relay, Instant::now())));
    }

    /// True while the database is reached by way of another node.
    pub fn is_relayed(&self) -> bool {
        matches!(self.route(), Route::Relayed(_))
    }

    /// Reaches the database directly again.
    pub fn reach_directly(&self) {
        self.relay.set(None);
    }

    fn route(&self) -> Route {
        match self.relay.get() {
            Some((relay, since)) if since.elapsed() < RELAY_HOLDS => Route::Relayed(relay),
            _ => Route::Direct(self.address),
        }
    }

    /// Changes how many connections may be open, and whether one is kept while nobody needs it.
    pub fn set_limit(&self, limit: u32, keeps: bool) {
        self.limit.set(limit.max(1));
        self.keeps.set(keeps);
        self.wake_next();
    }

    /// Takes in the database's slots, and how many nodes keep connections to it.
    pub fn share_out(&self, slots: u32, holders: usize) {
        self.gate.borrow_mut().share_out(slots, holders);
        self.wake_next();
    }

    fn effective_limit(&self) -> u32 {
        let limit = self.limit.get();
        match self.refused.get() {
            Some((size, at)) if at.elapsed() < REFUSAL_HOLDS => limit.min(size.max(1)),
            _ => limit,
        }
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
                    // Opening a connection costs a database about as much as a request.
                    self.loading.turn(costs).await?;
                    return self.open_one(user, claim.until, held).await;
                }
            }
            // How long a queue for a cold database takes is known beforehand, so it may be longer: there
            // the urgent overtake the others.
            let patience = match self.loading.is_cold() {
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
            // It ends when whoever waits gives up.
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
                self.loading.doubted();
            }
            self.closed();
        }
    }

    fn handed_out(&self, how: Handed) {
        self.measures.handed_out(self.group.as_str(), how);
    }

    /// Makes room for a connection to be opened, if need be by closing the one that has been idle
    /// longest; `None` if there is none.
    fn make_room(&self) -> Option<Handed> {
        if self.open.get() < self.effective_limit() {
            return Some(Handed::Opened);
        }
        let index = self.idle_longest()?;
        self.idle.borrow_mut().swap_remove(index);
        // Nobody is woken: the caller takes the room that it made.
        self.open.set(self.open.get().saturating_sub(1));
        Some(Handed::Replaced)
    }

    async fn open_one(
        self: &Rc<Self>,
        user: DatabaseUser,
        until: Instant,
        held: Held,
    ) -> Result<Checkout, CheckoutError> {
        let began = Instant::now();
        let left = until.saturating_duration_since(began);
        let slot = OpenSlot::take(self);
        let connection = Connection::open(
            self.protocol.clone(),
            self.route(),
            &self.group,
            &self.database,
            user,
            OPEN_LIMIT.min(left),
        );
        match connection.await {
            Ok(connection) => {
                slot.keep();
                self.measures.spent(Stage::Connection, began.elapsed());
                Ok(Checkout::new(self.clone(), connection, held))
            }
            Err(error) => {
                if !matches!(error, OpenError::TurnedAway(_)) {
                    self.loading.doubted();
                }
                if is_overload(&error) {
                    let size = self.open.get().saturating_sub(1);
                    self.refused.set(Some((size, Instant::now())));
                }
                // Too little time was left to tell whether the database is silent.
                match (error, left < OPEN_LIMIT) {
                    (OpenError::Silent, true) => Err(CheckoutError::Exhausted),
                    (error, _) => Err(error.into()),
                }
            }
        }
    }

    fn closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        self.wake_next();
    }
}

fn is_overload(error: &OpenError) -> bool {
    matches!(error, OpenError::TurnedAway(failure) if failure.kind == FailureKind::Overloaded)
}
