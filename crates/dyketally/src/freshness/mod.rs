//! Freshness of replica reads from observations of the primary's log.
//!
//! An observation is the log position that the primary of a group reported in its reply to a statement
//! sent at `sent`. The primary's log then held every commit acknowledged before `sent`, whichever node
//! or session made it. A read that must see the commits acknowledged before a time `t` is therefore
//! fresh at any replica whose log holds the position of an observation with `sent >= t`. The oldest such
//! observation requires the lowest position.

mod lag;

use std::collections::VecDeque;
use std::time::Duration;

use crate::group::LogPosition;
use crate::time::Timestamp;

pub use lag::LagEstimate;

/// Least time between two kept observations of the same position; a closer one replaces the earlier.
const MIN_SPACING: Duration = Duration::from_millis(20);

/// A position of the primary's log, and the time up to which it covers all acknowledged commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The end of the primary's log.
    pub position: LogPosition,
    /// When the statement was sent whose reply reported the position.
    pub sent: Timestamp,
}

/// The observations of one group, oldest first.
#[derive(Clone, Debug)]
pub struct Observations {
    kept: VecDeque<Observation>,
    retention: Duration,
}

impl Observations {
    /// Keeps observations for `retention`, which is the longest staleness bound of any route.
    pub fn new(retention: Duration) -> Self {
        Self {
            kept: VecDeque::new(),
            retention,
        }
    }

    /// Sets for how long observations are kept.
    pub fn keep_for(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Adds an observation. It is dropped if its statement was sent before that of the newest one, and
    /// replaces the newest one if both have the same position and are close in time.
    pub fn record(&mut self, now: Timestamp, observation: Observation) {
        self.forget_old(now);
        let Some(newest) = self.kept.back().copied() else {
            self.kept.push_back(observation);
            return;
        };
        if observation.sent < newest.sent {
            return;
        }
        let is_close = observation.sent.saturating_since(newest.sent) < MIN_SPACING;
        if is_close && observation.position == newest.position {
            self.kept.pop_back();
        }
        self.kept.push_back(observation);
    }

    /// The oldest observation that covers every commit acknowledged before `time`.
    pub fn covering(&self, time: Timestamp) -> Option<Observation> {
        let first = self.kept.partition_point(|kept| kept.sent < time);
        self.kept.get(first).copied()
    }

    /// For how long the primary has been known to hold `position`; zero when no observation shows it.
    pub fn age_of(&self, position: LogPosition, now: Timestamp) -> Duration {
        let first = self.kept.iter().find(|kept| kept.position >= position);
        first.map_or(Duration::ZERO, |first| now.saturating_since(first.sent))
    }

    fn forget_old(&mut self, now: Timestamp) {
        let oldest = now - self.retention;
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
        /// The longest staleness allowed.
        bound: Duration,
    },
    /// The commits of bounded staleness, and every commit of the same session.
    ReadOwnWrites {
        /// The longest staleness allowed for commits of other sessions.
        bound: Duration,
    },
}

/// What the log of a replica must hold so that it may serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessNeed {
    /// The log must hold every commit acknowledged before this time.
    pub covered: Timestamp,
    /// The log must also hold this position: the last commit of the read's own session in this group.
    pub own_commit: Option<LogPosition>,
}

/// Subtracted from a route's staleness bound, because a caller's clock starts before its statement arrives
/// here.
const BOUND_MARGIN: Duration = Duration::from_millis(100);

impl ReadConsistency {
    /// What a read requires that arrived at `arrived` on a session open since `connected`; `None` when
    /// only the primary may serve it.
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
    /// The position that a replica's log must hold; `None` when no observation covers the required time.
    pub fn position(&self, observations: &Observations) -> Option<LogPosition> {
        let covering = observations.covering(self.covered)?.position;
        Some(self.own_commit.map_or(covering, |own| own.max(covering)))
    }
}
