//! The gate in front of one database: counts the statements in flight and the waiting ones, and estimates how
//! long a new statement would wait.

use std::collections::BTreeMap;
use std::time::Duration;

use super::average::{Estimate, MovingAverage};
use super::in_flight::InFlightLimit;
use crate::time::Timestamp;

/// Least time after which a statement without an answer no longer counts as in flight.
const MIN_ANSWER_LOST_AFTER: Duration = Duration::from_millis(60);
/// Greatest time after which a statement without an answer no longer counts as in flight.
const MAX_ANSWER_LOST_AFTER: Duration = Duration::from_millis(400);
/// Time after which a statement without an answer no longer counts as in flight, before the first answer has
/// been measured.
const DEFAULT_ANSWER_LOST_AFTER: Duration = Duration::from_millis(200);

/// A queue that hasn't been empty for this long is a standing queue: it no longer absorbs a burst.
const STANDING_AFTER: Duration = Duration::from_secs(1);

/// Queue timeouts of a statement: how long it may wait before it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTimeouts {
    /// Timeout while the queue absorbs a burst, so that a statement that waits is likely to run.
    pub burst: Duration,
    /// Timeout while the queue is a standing queue: every statement would then wait until its timeout.
    pub standing: Duration,
}

/// Rank among the waiting statements; the smaller one goes first.
pub type Rank = u32;

/// Counts the statements in flight at a database and the waiting ones by rank, and estimates the time to wait
/// from the rate at which statements finish. The waiting statements themselves are kept by the owner of the
/// connections.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    limit: InFlightLimit,
    in_flight: u32,
    waiting: BTreeMap<Rank, u32>,
    /// Since when at least one statement has been waiting without interruption.
    waited_since: Option<Timestamp>,
    /// Average time between the ends of two statements while others wait.
    finish_interval: MovingAverage,
    /// When the last statement ended, if others waited then.
    last_finished: Option<Timestamp>,
    /// Time from sending a statement to its answer.
    answer_time: Estimate,
}

impl Gate {
    /// Sets this node's share of a database with `slots` slots, to which `holders` nodes keep connections.
    pub fn set_share(&mut self, slots: u32, holders: usize) {
        self.limit.set_share(slots, holders);
    }

    /// True when one more statement may be sent to the database.
    pub fn admits(&self) -> bool {
        self.limit.admits(self.in_flight)
    }

    /// Records that a statement is sent to the database.
    pub fn record_begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a statement ended, with or without an answer.
    pub fn record_end(&mut self, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let waited = !self.waiting.is_empty();
        if let Some(former) = self.last_finished
            && waited
        {
            self.finish_interval.record(now.saturating_since(former));
        }
        self.last_finished = waited.then_some(now);
    }

    /// Records that the database ran a statement and took `elapsed` to answer it.
    pub fn record_answer(&mut self, elapsed: Duration) {
        self.limit.record_answer();
        self.answer_time.record(elapsed);
    }

    /// Time after which a statement without an answer no longer counts as in flight: the answer is probably
    /// lost, and the slot at the database is free.
    pub fn answer_lost_after(&self) -> Duration {
        match self.answer_time.average() {
            None => DEFAULT_ANSWER_LOST_AFTER,
            Some(_) => self
                .answer_time
                .upper()
                .clamp(MIN_ANSWER_LOST_AFTER, MAX_ANSWER_LOST_AFTER),
        }
    }

    /// Records that the database rejected a statement.
    pub fn record_rejection(&mut self, now: Timestamp) {
        self.limit.record_rejection(now);
    }

    /// Records that a statement of `rank` begins to wait.
    pub fn record_waiting(&mut self, now: Timestamp, rank: Rank) {
        self.waited_since.get_or_insert(now);
        *self.waiting.entry(rank).or_default() += 1;
    }

    /// Records that a statement of `rank` no longer waits.
    pub fn record_left_queue(&mut self, rank: Rank) {
        if let Some(count) = self.waiting.get_mut(&rank) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(&rank);
            }
        }
        if self.waiting.is_empty() {
            self.waited_since = None;
        }
    }

    /// How long a statement with the given `timeouts` may wait at `now`.
    pub fn queue_timeout(&self, now: Timestamp, timeouts: QueueTimeouts) -> Duration {
        let is_standing = self
            .waited_since
            .is_some_and(|since| now.saturating_since(since) >= STANDING_AFTER);
        match is_standing {
            true => timeouts.standing,
            false => timeouts.burst,
        }
    }

    /// How long a new statement of `rank` would wait; `None` before the first measurement.
    pub fn expected_wait(&self, rank: Rank) -> Option<Duration> {
        let ahead: u32 = self.waiting.range(..=rank).map(|(_, count)| count).sum();
        Some(self.finish_interval.value()? * (ahead + 1))
    }
}
