//! Freshness of replica reads from observations of the primary's log.
//!
//! An observation says: a database that led its group at the time showed this position in reply to
//! a statement sent at `sent`. Its log then held every commit acknowledged before `sent`, whoever
//! made it. A read that must see the commits acknowledged before a time `t` is therefore fresh on
//! any log that holds the position of an observation with `sent >= t`; the oldest such one asks
//! least of a replica.

mod lag;

use std::collections::VecDeque;
use std::time::Duration;

use crate::group::LogPosition;
use crate::time::Timestamp;

pub use lag::LagEstimate;

/// Shortest distance between two observations that are both kept.
const SPACING: Duration = Duration::from_millis(20);

/// One position of the primary's log and the time before which commits are covered by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The end of the primary's log.
    pub position: LogPosition,
    /// When the statement was sent whose reply showed the position.
    pub sent: Timestamp,
}

/// The observations of one group, oldest first.
#[derive(Clone, Debug)]
pub struct Observations {
    kept: VecDeque<Observation>,
    keep_for: Duration,
}

impl Observations {
    /// Keeps observations for `keep_for`, which is the longest bound of any route.
    pub fn new(keep_for: Duration) -> Self {
        Self {
            kept: VecDeque::new(),
            keep_for,
        }
    }

    /// Changes for how long observations are kept.
    pub fn keep_for(&mut self, keep_for: Duration) {
        self.keep_for = keep_for;
    }

    /// Adds an observation. One that proves no more than a kept one is dropped.
    pub fn record(&mut self, now: Timestamp, observation: Observation) {
        self.forget_old(now);
        let Some(newest) = self.kept.back().copied() else {
            self.kept.push_back(observation);
            return;
        };
        if observation.sent < newest.sent {
            return;
        }
        let unspaced = observation.sent.saturating_since(newest.sent) < SPACING;
        if unspaced && observation.position == newest.position {
            self.kept.pop_back();
        }
        self.kept.push_back(observation);
    }

    /// The oldest observation that covers every commit acknowledged before `time`.
    pub fn covering(&self, time: Timestamp) -> Option<Observation> {
        let first = self.kept.partition_point(|kept| kept.sent < time);
        self.kept.get(first).copied()
    }

    /// For how long the primary has been known to hold `position`; zero when that isn't known.
    pub fn age_of(&self, position: LogPosition, now: Timestamp) -> Duration {
        let first = self.kept.iter().find(|kept| kept.position >= position);
        first.map_or(Duration::ZERO, |first| now.saturating_since(first.sent))
    }

    fn forget_old(&mut self, now: Timestamp) {
        let oldest = now - self.keep_for;
        while self.kept.front().is_some_and(|kept| kept.sent < oldest) {
            self.kept.pop_front();
        }
    }
}

/// Which commits a read has to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConsistency {
    /// Every commit acknowledged before the read.
    Primary,
    /// Every commit acknowledged more than the bound before the read.
    BoundedStaleness {
        /// The bound.
        bound: Duration,
    },
    /// As bounded staleness, and every commit of the same session.
    ReadOwnWrites {
        /// The bound for the commits of others.
        bound: Duration,
    },
}

/// What a read needs, given its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessNeed {
    /// Commits acknowledged before this must be seen.
    pub covered: Timestamp,
    /// The log must also hold this position, the session's own last commit here.
    pub own_commit: Option<LogPosition>,
}

/// What is subtracted from a route's bound: callers' clocks start before their statement arrives.
const BOUND_MARGIN: Duration = Duration::from_millis(100);

impl ReadConsistency {
    /// The need of a read that arrived at `arrived` on a session connected since `connected`;
    /// `None` when only the primary will do.
    pub fn need(
        self,
        arrived: Timestamp,
        connected: Timestamp,
        own_commit: Option<LogPosition>,
    ) -> Option<FreshnessNeed> {
        match self {
            ReadConsistency::Primary => None,
            ReadConsistency::BoundedStaleness { bound } => Some(FreshnessNeed {
                covered: arrived - bound.saturating_sub(BOUND_MARGIN),
                own_commit: None,
            }),
            ReadConsistency::ReadOwnWrites { bound } => {
                let bounded = arrived - bound.saturating_sub(BOUND_MARGIN);
                Some(FreshnessNeed {
                    covered: bounded.max(connected),
                    own_commit,
                })
            }
        }
    }
}

impl FreshnessNeed {
    /// The position a replica's log must hold, if an observation tells it.
    pub fn position(&self, observations: &Observations) -> Option<LogPosition> {
        let covering = observations.covering(self.covered)?.position;
        Some(self.own_commit.map_or(covering, |own| own.max(covering)))
    }
}
