//! What one node may send to one database.

use std::time::Duration;

use super::budget::{Budget, Margin};
use super::pacer::Pacer;
use super::tenure::Tenure;
use super::warmth::Warmth;
use crate::route_policy::SlowStart;
use crate::time::Timestamp;

/// Whether a node may send to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// It is warm, or its group has no slow start: as fast as it takes it.
    Free,
    /// It is cold; the next batch may be sent after this time.
    After(Duration),
    /// It is cold, and this node has no part of its budget: others send to it.
    Elsewhere,
    /// It is cold, and this node can't tell yet whether a former holder still sends to it.
    Unsettled,
}

/// A database's slow start as one node keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    rule: Option<(SlowStart, Budget)>,
    warmth: Warmth,
    tenure: Tenure,
    pacer: Pacer,
}

impl Throttle {
    /// Records how the database's group starts; `None` where its databases are never cold.
    pub fn set_rule(&mut self, rule: Option<SlowStart>, margin: Margin) {
        self.rule = rule.map(|rule| (rule, Budget::of(rule.rate, margin)));
    }

    /// What is known of its start.
    pub fn warmth(&mut self) -> &mut Warmth {
        &mut self.warmth
    }

    /// Records whether this node sends to it while it is cold, by the list of nodes that it has now.
    pub fn hold(&mut self, now: Timestamp, holds: bool) {
        self.tenure.update(now, holds);
    }

    /// True where databases of the group have a slow start.
    pub fn is_limited(&self) -> bool {
        self.rule.is_some()
    }

    /// True when this node sends to it while it is cold, once former holders have stopped.
    pub fn is_holder(&self) -> bool {
        self.tenure.is_held()
    }

    /// True while the database may be cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        let rule = self.rule.as_ref();
        rule.is_some_and(|(rule, _)| now < self.warmth.cold_until(rule.cold_for))
    }

    /// How much longer it is cold by its own announcement.
    pub fn announced_cold_for(&self, now: Timestamp) -> Duration {
        self.warmth.announced_cold_for(now)
    }

    /// Share of its reads that it should get, from 0 to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        let rule = self.rule.as_ref();
        rule.map_or(1.0, |(rule, _)| self.warmth.share(now, rule.cold_for))
    }

    /// Whether this node may send to it. The node knows all that the store held at `heard`, if it is in
    /// touch with it: it would have heard that others are holders now, or that the database has started.
    pub fn pace(&mut self, now: Timestamp, heard: Option<Timestamp>) -> Pace {
        self.warmth.settle(now, heard);
        if !self.is_cold(now) {
            return Pace::Free;
        }
        match self.tenure.wait(now) {
            None => Pace::Elsewhere,
            Some(wait) if !wait.is_zero() || heard.is_none() => Pace::Unsettled,
            Some(_) => Pace::After(self.pacer.wait(now)),
        }
    }

    /// Time between two requests of this node.
    pub fn interval(&self) -> Duration {
        let rule = self.rule.as_ref();
        rule.map_or(Duration::ZERO, |(_, budget)| budget.interval)
    }

    /// Records that `requests` are sent now.
    pub fn sent(&mut self, now: Timestamp, requests: u32) {
        if self.is_cold(now) {
            self.pacer.sent(now, requests, self.interval());
        }
    }
}
