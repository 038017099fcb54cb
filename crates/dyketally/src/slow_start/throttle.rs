//! Decides whether one node may send to one database, by the rules of its slow start.

use std::time::Duration;

use super::budget::{Budget, Margin};
use super::pacer::Pacer;
use super::tenure::Tenure;
use super::warmth::ColdState;
use crate::route_policy::SlowStart;
use crate::time::Timestamp;

/// Whether a node may send to a database at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// The database is warm, or its group has no slow start: the node may send without pacing.
    Unlimited,
    /// The database is cold and the node is a holder: it may send the next batch after this time.
    After(Duration),
    /// The database is cold and the node is no holder: only other nodes may send.
    NotHolder,
    /// The database is cold and the node is a holder, but a former holder may still be sending: the node may not
    /// send yet.
    FormerMaySend,
}

/// One node's state of one database's slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    rule: Option<(SlowStart, Budget)>,
    cold_state: ColdState,
    tenure: Tenure,
    pacer: Pacer,
}

impl Throttle {
    /// Sets the slow start of the database's group; `None` if the group has none and its databases are never cold.
    pub fn set_rule(&mut self, rule: Option<SlowStart>, margin: Margin) {
        self.rule = rule.map(|rule| (rule, Budget::for_rate(rule.rate, margin)));
    }

    /// What is known of the database's last start.
    pub fn cold_state(&mut self) -> &mut ColdState {
        &mut self.cold_state
    }

    /// Records whether this node is a holder of the database according to its current list of nodes.
    pub fn set_holder(&mut self, now: Timestamp, is_holder: bool) {
        self.tenure.update(now, is_holder);
    }

    /// True when the database's group has a slow start.
    pub fn is_limited(&self) -> bool {
        self.rule.is_some()
    }

    /// True when this node is a holder of the database, even if it may not send yet.
    pub fn is_holder(&self) -> bool {
        self.tenure.is_held()
    }

    /// True while the database may be cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        let rule = self.rule.as_ref();
        rule.is_some_and(|(rule, _)| now < self.cold_state.cold_until(rule.cold_for))
    }

    /// How much longer the database is cold according to its own announcement.
    pub fn announced_cold_for(&self, now: Timestamp) -> Duration {
        self.cold_state.announced_cold_for(now)
    }

    /// Fraction of its usual reads that the database should get, from 0 to 1.
    pub fn read_share(&self, now: Timestamp) -> f64 {
        let rule = self.rule.as_ref();
        rule.map_or(1.0, |(rule, _)| self.cold_state.share(now, rule.cold_for))
    }

    /// Whether this node may send to the database at `now`. `store_known_as_of` is the time as of which the
    /// node knows the contents of the store; `None` while it is out of contact with the store, when it could
    /// miss that other nodes have become holders or that the database has started.
    pub fn pace(&mut self, now: Timestamp, store_known_as_of: Option<Timestamp>) -> Pace {
        self.cold_state.rule_out_restart(now, store_known_as_of);
        if !self.is_cold(now) {
            return Pace::Unlimited;
        }
        match self.tenure.wait(now) {
            None => Pace::NotHolder,
            Some(wait) if !wait.is_zero() || store_known_as_of.is_none() => Pace::FormerMaySend,
            Some(_) => Pace::After(self.pacer.wait(now)),
        }
    }

    /// Average time between two requests of this node while the database is cold; zero without a slow start.
    pub fn interval(&self) -> Duration {
        let rule = self.rule.as_ref();
        rule.map_or(Duration::ZERO, |(_, budget)| budget.interval)
    }

    /// Records that a batch of `requests` is sent now.
    pub fn record_sent(&mut self, now: Timestamp, requests: u32) {
        if self.is_cold(now) {
            self.pacer.record_sent(now, requests, self.interval());
        }
    }
}
