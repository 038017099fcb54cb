//! The gate in front of one database: how many statements are in flight, who waits, and for how long
//! a newcomer would.

use std::collections::BTreeMap;
use std::time::Duration;

use super::average::{Estimate, MovingAverage};
use super::in_flight::InFlightLimit;
use crate::time::Timestamp;

/// Bounds of the time after which a statement without an answer no longer counts as in flight, and
/// that time before anything was measured.
const SHORTEST_SILENCE: Duration = Duration::from_millis(60);
const LONGEST_SILENCE: Duration = Duration::from_millis(400);
const SILENCE_ASSUMED: Duration = Duration::from_millis(200);

/// A queue that hasn't been empty for so long stands: it no longer evens out a burst.
const STANDING: Duration = Duration::from_secs(1);

/// How long a statement may wait for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// While the queue evens out a burst, so that waiting gets the statement served.
    pub burst: Duration,
    /// While the queue stands: all who wait would then wait as long as they may.
    pub standing: Duration,
}

/// Rank among those who wait; smaller goes first.
pub type Rank = u32;

/// Counts what is in flight at a database and who waits for it, and estimates waits from the rate at
/// which statements finish. Whoever holds the connections also keeps the waiters themselves.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    limit: InFlightLimit,
    in_flight: u32,
    waiting: BTreeMap<Rank, u32>,
    /// Since when someone has waited at any time.
    waited_since: Option<Timestamp>,
    /// Time between two statements that finish while others wait.
    interval: MovingAverage,
    finished: Option<Timestamp>,
    /// Time that statements which were answered took.
    answered_in: Estimate,
}

impl Gate {
    /// Limits a database of `slots` slots that `holders` nodes keep connections to.
    pub fn share_out(&mut self, slots: u32, holders: usize) {
        self.limit.share_out(slots, holders);
    }

    /// True when one more statement may begin.
    pub fn admits(&self) -> bool {
        self.limit.admits(self.in_flight)
    }

    /// Records that a statement begins.
    pub fn begins(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a statement ended, however it did.
    pub fn ended(&mut self, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let waited = !self.waiting.is_empty();
        if let Some(former) = self.finished
            && waited
        {
            self.interval.record(now.saturating_since(former));
        }
        self.finished = waited.then_some(now);
    }

    /// Records that the database ran a statement and took `elapsed` to answer it.
    pub fn ran(&mut self, elapsed: Duration) {
        self.limit.ran();
        self.answered_in.record(elapsed);
    }

    /// After this time a statement without an answer no longer counts as in flight: its answer is
    /// probably lost, and the database has a slot free.
    pub fn silence(&self) -> Duration {
        match self.answered_in.average() {
            None => SILENCE_ASSUMED,
            Some(_) => self
                .answered_in
                .upper()
                .clamp(SHORTEST_SILENCE, LONGEST_SILENCE),
        }
    }

    /// Records that the database turned a statement away.
    pub fn turned_away(&mut self, now: Timestamp) {
        self.limit.turned_away(now);
    }

    /// Records that someone waits.
    pub fn waits(&mut self, now: Timestamp, rank: Rank) {
        self.waited_since.get_or_insert(now);
        *self.waiting.entry(rank).or_default() += 1;
    }

    /// Records that someone no longer waits.
    pub fn waits_no_more(&mut self, rank: Rank) {
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

    /// How long someone with `patience` may wait now.
    pub fn patience(&self, now: Timestamp, patience: Patience) -> Duration {
        let stands = self
            .waited_since
            .is_some_and(|since| now.saturating_since(since) >= STANDING);
        match stands {
            true => patience.standing,
            false => patience.burst,
        }
    }

    /// How long someone of `rank` who comes now would wait; `None` before anything was measured.
    pub fn expected_wait(&self, rank: Rank) -> Option<Duration> {
        let ahead: u32 = self.waiting.range(..=rank).map(|(_, count)| count).sum();
        Some(self.interval.value()? * (ahead + 1))
    }
}
