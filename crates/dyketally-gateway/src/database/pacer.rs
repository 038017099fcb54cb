//! Limits the rate at which this node sends to one database while the database may be cold, to this node's share
//! of the database's rate; a warm database has no such limit. See [`dyketally::slow_start`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Denial;
use dyketally::route_policy::SlowStart;
use dyketally::slow_start::{Margin, Pace, Throttle};
use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::context::contact::NodeContact;

/// Requests assumed of each waiting batch when the wait in the queue is estimated: a batch is usually a single
/// statement or a few, since a read at a primary is sent with statements around it.
const TYPICAL_BATCH_REQUESTS: u32 = 2;
/// Longest time for which a batch that has a connection waits until the cold database's rate admits it. A
/// connection is given out only shortly before that, so a longer wait means that another node got a
/// share of the rate meanwhile.
pub const SEND_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// Limits the rate of this node's requests to one database while the database may be cold.
pub struct Pacer {
    throttle: RefCell<Throttle>,
    contact: Rc<NodeContact>,
    started: Instant,
    /// Batches that have a connection and haven't been sent yet.
    reserved: Cell<u32>,
    sent: Cell<u64>,
    refused: Cell<u64>,
}

/// Status of a database whose group has a slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacerStatus {
    /// True while the database may be cold.
    pub cold: bool,
    /// True while this node is one of those that may send to the database when it is cold.
    pub holder: bool,
    /// Minimum time between two requests of this node while the database is cold.
    pub interval: Duration,
    /// Requests that this node sent to the database while it was cold.
    pub sent: u64,
    /// Statements that this node refused because the database was cold.
    pub refused: u64,
}

/// Guard that counts a batch as about to be sent until it is dropped.
pub struct BatchReservation(Rc<Pacer>);

impl BatchReservation {
    fn take(pacer: &Rc<Pacer>) -> Self {
        pacer.reserved.set(pacer.reserved.get() + 1);
        Self(pacer.clone())
    }
}

impl Drop for BatchReservation {
    fn drop(&mut self) {
        self.0.reserved.set(self.0.reserved.get() - 1);
    }
}

impl Pacer {
    /// A pacer without a rule or announcements; its timestamps count from `started`.
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

    /// Sets the slow start of the database's group; `None` if its databases are never cold.
    pub fn set_rule(&self, rule: Option<SlowStart>, margin: Margin) {
        self.throttle.borrow_mut().set_rule(rule, margin);
    }

    /// Sets whether this node is one of those that may send to the database while it is cold.
    pub fn set_holder(&self, holds: bool) {
        self.throttle.borrow_mut().set_holder(self.now(), holds);
    }

    /// Records that the database announced itself as cold for another `cold_for`.
    pub fn record_announcement(&self, cold_for: Duration) {
        let now = self.now();
        self.throttle
            .borrow_mut()
            .cold_state()
            .record_announcement(now, cold_for);
    }

    /// Records that the database may have restarted, or may restart, without this node's knowledge.
    pub fn record_possible_restart(&self) {
        self.throttle
            .borrow_mut()
            .cold_state()
            .record_possible_restart(self.now());
    }

    /// Records that the database answered on a connection whose opening began at `opened`.
    pub fn answered(&self, opened: Instant) {
        let (now, opened) = (self.now(), self.at(opened));
        self.throttle
            .borrow_mut()
            .cold_state()
            .record_answer(now, opened);
    }

    /// Records that the database answered another node.
    pub fn answered_another_node(&self) {
        self.throttle
            .borrow_mut()
            .cold_state()
            .record_running(self.now());
    }

    /// Whether, and after which wait, this node may send to the database.
    pub fn pace(&self) -> Pace {
        let now = self.now();
        let heard = self.contact.store_known_as_of(now);
        self.throttle.borrow_mut().pace(now, heard)
    }

    /// True while the database may be cold.
    pub fn is_cold(&self) -> bool {
        self.pace() != Pace::Unlimited
    }

    /// Remaining time for which the database announced itself as cold; zero where its group has no slow start.
    pub fn announced_cold_for(&self) -> Duration {
        let throttle = self.throttle.borrow();
        match throttle.is_limited() {
            true => throttle.announced_cold_for(self.now()),
            false => Duration::ZERO,
        }
    }

    /// Fraction of its usual reads that the database should get, from 0 to 1.
    pub fn read_share(&self) -> f64 {
        self.throttle.borrow().read_share(self.now())
    }

    /// The status; `None` if the database's group has no slow start.
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

    /// True when the rate admits another batch, so that it may be given a connection.
    pub fn admits(&self) -> bool {
        match self.pace() {
            Pace::Unlimited => true,
            Pace::After(wait) => wait.is_zero() && self.reserved.get() == 0,
            Pace::NotHolder | Pace::FormerMaySend => false,
        }
    }

    /// Reserves the next request for a batch that was given a connection; `None` while the database is warm.
    pub fn reserve(self: &Rc<Self>) -> Option<BatchReservation> {
        self.is_cold().then(|| BatchReservation::take(self))
    }

    /// Estimated wait of a batch with `ahead` others before it; zero while the database is warm.
    ///
    /// # Errors
    /// The database is cold and this node may not send to it.
    pub fn expected_wait(&self, ahead: usize) -> Result<Duration, Denial> {
        match self.pace() {
            Pace::Unlimited => Ok(Duration::ZERO),
            Pace::After(wait) => {
                let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
                let before = ahead.saturating_add(self.reserved.get());
                let each = self.throttle.borrow().interval() * TYPICAL_BATCH_REQUESTS;
                Ok(wait.saturating_add(each.saturating_mul(before)))
            }
            Pace::NotHolder | Pace::FormerMaySend => Err(Denial::Cold),
        }
    }

    /// Counts a statement that was refused because the database is cold.
    pub fn record_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Waits until the rate admits `requests`, and counts them as sent. Returns at once for 0 requests.
    ///
    /// # Errors
    /// The database is cold, and this node may not send to it or would wait for longer than [`SEND_WAIT_LIMIT`].
    pub async fn wait_to_send(&self, requests: u32) -> Result<(), Denial> {
        if requests == 0 {
            return Ok(());
        }
        let until = Instant::now() + SEND_WAIT_LIMIT;
        loop {
            match self.pace() {
                Pace::Unlimited => return Ok(()),
                Pace::After(wait) if wait.is_zero() => {
                    self.record_sent(requests);
                    return Ok(());
                }
                Pace::After(wait) if Instant::now() + wait <= until => {
                    tokio::time::sleep(wait).await;
                }
                Pace::After(_) | Pace::NotHolder | Pace::FormerMaySend => return Err(Denial::Cold),
            }
        }
    }

    fn record_sent(&self, requests: u32) {
        self.throttle.borrow_mut().record_sent(self.now(), requests);
        self.sent.set(self.sent.get() + u64::from(requests));
    }
}
