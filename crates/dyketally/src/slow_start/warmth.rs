//! Whether a database may be cold.

use std::time::Duration;

use crate::time::Timestamp;

/// How long after a start a database's announcement in the store may still be the one from before:
/// databases announce themselves as they start (20 ms later, measured on eight starts).
const ANNOUNCED_LATE: Duration = Duration::from_millis(500);
/// Time over which reads come back to a database that has warmed up. Without, every node would send it
/// all of its reads at once, since nothing waits there yet.
pub const RAMP: Duration = Duration::from_secs(2);

/// What is known of a database's start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    /// Until when it is cold by its announcement.
    cold_until: Timestamp,
    doubt: Option<Doubt>,
    known: bool,
}

/// The database may have started without this node's knowledge.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// Connections that were opened before then are of no use if it has.
    since: Timestamp,
    /// When it was seen to run again, so that it can't start later; `None` until then.
    reached: Option<Timestamp>,
}

impl Doubt {
    /// True when this node would have heard of a start: it knows all that the store held at `heard`.
    fn is_settled(self, heard: Timestamp) -> bool {
        self.reached.is_some_and(|at| heard >= at + ANNOUNCED_LATE)
    }
}

impl Warmth {
    /// Records an announcement by which the database is cold for `cold_for` from now. Announcements
    /// come late, so it is warm by then. The first one may be left over from before a start.
    pub fn announced(&mut self, now: Timestamp, cold_for: Duration) {
        if !cold_for.is_zero() {
            self.cold_until = self.cold_until.max(now + cold_for);
        }
        if !std::mem::replace(&mut self.known, true) {
            self.doubt = Some(Doubt {
                since: now,
                reached: Some(now),
            });
        }
    }

    /// Records that the database may start again from now on: its connections broke, it can't be
    /// reached, or it no longer announces itself.
    pub fn doubted(&mut self, now: Timestamp) {
        self.doubt = Some(Doubt {
            since: now,
            reached: None,
        });
    }

    /// Records that a connection answered that was opened at `opened`.
    pub fn answered(&mut self, now: Timestamp, opened: Timestamp) {
        if self.doubt.is_some_and(|doubt| opened < doubt.since) {
            // It has run all the time.
            self.doubt = None;
        }
        self.ran(now);
    }

    /// Records that it runs: it answered this node or another one.
    pub fn ran(&mut self, now: Timestamp) {
        if let Some(doubt) = &mut self.doubt {
            doubt.reached.get_or_insert(now);
        }
    }

    /// Drops a doubt that nothing has confirmed, where this node knows all that the store held at
    /// `heard`.
    pub fn settle(&mut self, now: Timestamp, heard: Option<Timestamp>) {
        let doubt = self.doubt.zip(heard);
        if doubt.is_some_and(|(doubt, heard)| doubt.is_settled(heard)) {
            self.doubt = None;
            self.cold_until = self.cold_until.max(now);
        }
    }

    /// How much longer it is cold by its own announcement.
    pub fn announced_cold_for(&self, now: Timestamp) -> Duration {
        self.cold_until.saturating_since(now)
    }

    /// Until when it may be cold, where it is so for `lasts` after a start; [`Timestamp::MAX`] while it
    /// may start at any time.
    pub fn cold_until(&self, lasts: Duration) -> Timestamp {
        let doubted = match self.doubt {
            Some(doubt) => doubt.reached.map_or(Timestamp::MAX, |at| at + lasts),
            None => Timestamp::ZERO,
        };
        self.cold_until.max(doubted)
    }

    /// Share of its reads that it should get: none while it may be cold, then more and more.
    pub fn share(&self, now: Timestamp, lasts: Duration) -> f64 {
        let until = self.cold_until(lasts);
        if until == Timestamp::ZERO {
            return 1.0;
        }
        let warm_for = now.saturating_since(until);
        (warm_for.as_secs_f64() / RAMP.as_secs_f64()).min(1.0)
    }
}
