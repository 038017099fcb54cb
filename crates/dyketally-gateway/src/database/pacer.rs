//! How fast this node may load one database: as fast as it takes it while it is warm, at this node's
//! part of its rate while it may be cold; see [`dyketally::slow_start`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Denial;
use dyketally::route_policy::SlowStart;
use dyketally::slow_start::{Margin, Pace, Throttle};
use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::context::contact::NodeContact;

/// Requests of a batch as a rule: a statement of its own, or one of those that a read at a primary is
/// framed by. Only the expected wait depends on it. Not measured.
const USUAL_BATCH: u32 = 2;
/// Longest time that a batch waits for its turn once it has a connection. It was given the connection
/// when its turn was near, so a longer wait means that another node got a part of the rate meanwhile. Not measured.
pub const LONGEST_TURN: Duration = Duration::from_secs(1);

/// Slows down what this node sends to one database while that may be cold.
pub struct Pacer {
    throttle: RefCell<Throttle>,
    contact: Rc<NodeContact>,
    started: Instant,
    /// Batches that were given a connection and aren't sent yet.
    reserved: Cell<u32>,
    sent: Cell<u64>,
    refused: Cell<u64>,
}

/// How a database stands whose group has a slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacerStatus {
    /// True while it may be cold.
    pub cold: bool,
    /// True while this node sends to it when it is cold.
    pub holder: bool,
    /// Time between two requests of this node.
    pub interval: Duration,
    /// Requests that this node sent to it while it was cold.
    pub sent: u64,
    /// Statements that this node turned away meanwhile.
    pub refused: u64,
}

/// Counts a batch as one that will be sent until it is dropped.
pub struct Reserved(Rc<Pacer>);

impl Reserved {
    fn take(pacer: &Rc<Pacer>) -> Self {
        pacer.reserved.set(pacer.reserved.get() + 1);
        Self(pacer.clone())
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.0.reserved.set(self.0.reserved.get() - 1);
    }
}

impl Pacer {
    /// A pacer that knows nothing yet; times are counted from `started`.
    pub fn new(contact: Rc<NodeContact>, started: Instant) -> Rc<Self> {
        Rc::new(Self {
            throttle: RefCell::default(),
            contact,
            started,
            reserved: Cell::new(0),
            sent: Cell::new(0),
            refused: Cell::new(0),
        })
    }

    fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    fn at(&self, instant: Instant) -> Timestamp {
        let elapsed = instant.saturating_duration_since(self.started);
        Timestamp::from_micros(elapsed.as_micros() as u64)
    }

    /// Applies how the database's group starts.
    pub fn set_rule(&self, rule: Option<SlowStart>, margin: Margin) {
        self.throttle.borrow_mut().set_rule(rule, margin);
    }

    /// Applies whether this node sends to it while it is cold, by the list of nodes.
    pub fn hold(&self, holds: bool) {
        self.throttle.borrow_mut().hold(self.now(), holds);
    }

    /// Records an announcement by which the database is cold for `cold_for`.
    pub fn announced(&self, cold_for: Duration) {
        let now = self.now();
        self.throttle.borrow_mut().warmth().announced(now, cold_for);
    }

    /// Records that the database may start again from now on.
    pub fn may_have_restarted(&self) {
        self.throttle.borrow_mut().warmth().doubted(self.now());
    }

    /// Records that it answered on a connection that was opened at `opened`.
    pub fn answered(&self, opened: Instant) {
        let (now, opened) = (self.now(), self.at(opened));
        self.throttle.borrow_mut().warmth().answered(now, opened);
    }

    /// Records that it answered another node.
    pub fn ran(&self) {
        self.throttle.borrow_mut().warmth().ran(self.now());
    }

    /// Whether this node may send to it now.
    pub fn pace(&self) -> Pace {
        let now = self.now();
        let heard = self.contact.heard_store(now);
        self.throttle.borrow_mut().pace(now, heard)
    }

    /// True while it may be cold.
    pub fn is_cold(&self) -> bool {
        self.pace() != Pace::Free
    }

    /// How much longer it is cold by its own announcement.
    pub fn announced_cold_for(&self) -> Duration {
        let throttle = self.throttle.borrow();
        match throttle.is_limited() {
            true => throttle.announced_cold_for(self.now()),
            false => Duration::ZERO,
        }
    }

    /// Share of its reads that it should get, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.throttle.borrow().share(self.now())
    }

    /// How it stands; `None` where its group has no slow start.
    pub fn status(&self) -> Option<PacerStatus> {
        let cold = self.is_cold();
        let throttle = self.throttle.borrow();
        throttle.is_limited().then(|| PacerStatus {
            cold,
            holder: throttle.is_holder(),
            interval: throttle.interval(),
            sent: self.sent.get(),
            refused: self.refused.get(),
        })
    }

    /// True when a batch may be given a connection.
    pub fn admits(&self) -> bool {
        match self.pace() {
            Pace::Free => true,
            Pace::After(wait) => wait.is_zero() && self.reserved.get() == 0,
            Pace::Elsewhere | Pace::Unsettled => false,
        }
    }

    /// Counts a batch that was given a connection; `None` while the database is warm.
    pub fn reserve(self: &Rc<Self>) -> Option<Reserved> {
        self.is_cold().then(|| Reserved::take(self))
    }

    /// How long a batch would wait with `ahead` others before it; nothing while the database is warm.
    ///
    /// # Errors
    /// This node sends nothing to it.
    pub fn expected_wait(&self, ahead: usize) -> Result<Duration, Denial> {
        match self.pace() {
            Pace::Free => Ok(Duration::ZERO),
            Pace::After(wait) => {
                let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
                let before = ahead.saturating_add(self.reserved.get());
                let each = self.throttle.borrow().interval() * USUAL_BATCH;
                Ok(wait.saturating_add(each.saturating_mul(before)))
            }
            Pace::Elsewhere | Pace::Unsettled => Err(Denial::Cold),
        }
    }

    /// Records that a statement was turned away.
    pub fn refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Waits until `requests` may be sent, and counts them as sent.
    ///
    /// # Errors
    /// This node sends nothing to it, or its turn is too far away.
    pub async fn turn(&self, requests: u32) -> Result<(), Denial> {
        if requests == 0 {
            return Ok(());
        }
        let until = Instant::now() + LONGEST_TURN;
        loop {
            match self.pace() {
                Pace::Free => return Ok(()),
                Pace::After(wait) if wait.is_zero() => {
                    self.sent(requests);
                    return Ok(());
                }
                Pace::After(wait) if Instant::now() + wait <= until => {
                    tokio::time::sleep(wait).await;
                }
                Pace::After(_) | Pace::Elsewhere | Pace::Unsettled => return Err(Denial::Cold),
            }
        }
    }

    fn sent(&self, requests: u32) {
        self.throttle.borrow_mut().sent(self.now(), requests);
        self.sent.set(self.sent.get() + u64::from(requests));
    }
}
