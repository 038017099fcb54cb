//! Tracks whether a database may be cold, from its announcements and from signs that it may have restarted.

use std::time::Duration;

use crate::time::Timestamp;

/// Time after a start for which the database's announcement in the store may still be the one from before the
/// start. Databases announce themselves as they start: 20 ms later in eight starts.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);
/// Time over which a database that has warmed up is given its full share of reads again. Without this ramp, every
/// node would send it all of its reads at once, since its queue is still empty.
pub const READ_RAMP_TIME: Duration = Duration::from_secs(2);

/// What is known of a database's last start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdState {
    /// Until when the database is cold according to its announcements.
    cold_until: Timestamp,
    /// A restart without this node's knowledge that hasn't been ruled out.
    possible_restart: Option<PossibleRestart>,
    /// True once an announcement has been received.
    is_announced: bool,
}

/// A restart of the database that may have happened, or may still happen, without this node's knowledge.
#[derive(Clone, Copy, Debug)]
struct PossibleRestart {
    /// Earliest time of the restart. A connection opened before that and still answering rules the restart out.
    since: Timestamp,
    /// When the database was first found to be running since, so that the restart was earlier; `None` until then.
    found_running: Option<Timestamp>,
}

impl PossibleRestart {
    /// True when this node would have received the announcement of a restart by now. The node knows the contents
    /// of the store as of `store_known_as_of`.
    fn is_ruled_out(self, store_known_as_of: Timestamp) -> bool {
        self.found_running
            .is_some_and(|at| store_known_as_of >= at + ANNOUNCEMENT_DELAY)
    }
}

impl ColdState {
    /// Records an announcement that the database is cold for `cold_for` from now. Announcements arrive with a
    /// delay, so the database is certainly warm after that time. The first announcement may be a leftover from
    /// before a restart, so the database may still be cold.
    pub fn record_announcement(&mut self, now: Timestamp, cold_for: Duration) {
        if !cold_for.is_zero() {
            self.cold_until = self.cold_until.max(now + cold_for);
        }
        if !std::mem::replace(&mut self.is_announced, true) {
            self.possible_restart = Some(PossibleRestart {
                since: now,
                found_running: Some(now),
            });
        }
    }

    /// Records that the database may restart at any time from now on: its connections broke, it is
    /// unreachable, or it no longer announces itself.
    pub fn record_possible_restart(&mut self, now: Timestamp) {
        self.possible_restart = Some(PossibleRestart {
            since: now,
            found_running: None,
        });
    }

    /// Records that the database answered on a connection that was opened at `opened`.
    pub fn record_answer(&mut self, now: Timestamp, opened: Timestamp) {
        if self
            .possible_restart
            .is_some_and(|restart| opened < restart.since)
        {
            // The connection has survived, so the database has been running without a restart.
            self.possible_restart = None;
        }
        self.record_running(now);
    }

    /// Records that the database is running: it answered this node or another one.
    pub fn record_running(&mut self, now: Timestamp) {
        if let Some(restart) = &mut self.possible_restart {
            restart.found_running.get_or_insert(now);
        }
    }

    /// Drops a possible restart that is ruled out because its announcement would have arrived. The node knows the
    /// contents of the store as of `store_known_as_of`; `None` while it is out of contact with the store.
    pub fn rule_out_restart(&mut self, now: Timestamp, store_known_as_of: Option<Timestamp>) {
        let possible_restart = self.possible_restart.zip(store_known_as_of);
        if possible_restart.is_some_and(|(restart, known_as_of)| restart.is_ruled_out(known_as_of))
        {
            self.possible_restart = None;
            self.cold_until = self.cold_until.max(now);
        }
    }

    /// How much longer the database is cold according to its own announcement.
    pub fn announced_cold_for(&self, now: Timestamp) -> Duration {
        self.cold_until.saturating_since(now)
    }

    /// Until when the database may be cold, if it is cold for `cold_for` after a start; [`Timestamp::MAX`] while
    /// it may restart at any time.
    pub fn cold_until(&self, cold_for: Duration) -> Timestamp {
        let after_restart = match self.possible_restart {
            Some(restart) => restart
                .found_running
                .map_or(Timestamp::MAX, |at| at + cold_for),
            None => Timestamp::ZERO,
        };
        self.cold_until.max(after_restart)
    }

    /// Fraction of its usual reads that the database should get: 0 while it may be cold, then rising linearly to 1
    /// over [`READ_RAMP_TIME`]. `cold_for` is the time for which it is cold after a start.
    pub fn share(&self, now: Timestamp, cold_for: Duration) -> f64 {
        let until = self.cold_until(cold_for);
        if until == Timestamp::ZERO {
            return 1.0;
        }
        let warm_for = now.saturating_since(until);
        (warm_for.as_secs_f64() / READ_RAMP_TIME.as_secs_f64()).min(1.0)
    }
}
