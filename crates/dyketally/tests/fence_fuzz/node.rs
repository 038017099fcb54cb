//! One node of the fuzzed world: what it has heard, and what it waits for.

use std::time::Duration;

use dyketally::failover::{Contact, SHORT_HOLDS};
use dyketally::time::Timestamp;

use super::Fault;
use super::world::Rule;

/// Clocks run by up to so many thousandths faster or slower than true time.
pub const CLOCK_ERROR: f64 = 0.04;

/// Steps that a node's watch may take to tell of a new leader once the store is reached again.
const WATCH_STEPS: usize = 30;
/// Steps for which a watch that was lost counts as one that is being renewed.
const RENEWED_STEPS: usize = 20;

/// What a node tells another that asks how lately it was in touch.
#[derive(Clone, Copy)]
pub struct Told {
    pub store: Option<Duration>,
    pub majority: Option<Duration>,
    pub granted: Option<Duration>,
    pub fenced: bool,
}

/// A question that is under way.
#[derive(Clone, Copy)]
pub struct Question {
    /// When it was asked, by the clock of whoever asked.
    pub asked: Timestamp,
    /// The step at which the reply comes.
    pub arrives: usize,
    /// Who replies.
    pub by: usize,
    /// The reply, if it was given right away and not just before it arrives.
    pub told: Option<Told>,
}

#[derive(Clone, Default)]
pub struct Node {
    pub contact: Contact,
    pub asked_nodes: Option<Timestamp>,
    pub renews_at: usize,
    pub fenced: bool,
    /// The side of the partition it is on; nodes of different sides don't hear each other.
    pub side: usize,
    pub reaches_store: bool,
    /// Steps for which it has reached the store without a break.
    pub store_steps: usize,
    /// The last step at which its watch stood.
    pub watched_until: usize,
    pub reaches_primary: bool,
    /// The relay that it follows: it leaves the store and the other nodes to it.
    pub follows: Option<usize>,
    /// Its question to its relay for news.
    pub ping: Option<Question>,
    /// Its question for the short contact.
    pub grant: Option<Question>,
    /// The step until which it stands still.
    pub frozen_until: usize,
    /// How fast its clock runs.
    pub rate: f64,
}

impl Node {
    /// Counts one more step, at the end of which it reaches the store or not.
    pub fn reach_store(&mut self, step: usize) {
        self.store_steps = match self.reaches_store {
            true => self.store_steps + 1,
            false => 0,
        };
        if self.was_told() {
            self.watched_until = step;
        }
    }

    /// True once its watch of the store has told all that it missed while it didn't reach the store.
    pub fn was_told(&self) -> bool {
        self.store_steps > WATCH_STEPS
    }

    /// True while its watch stands, or is being renewed.
    pub fn watches(&self, step: usize) -> bool {
        step - self.watched_until < RENEWED_STEPS
    }

    /// True while it trusts what the old primary says.
    pub fn is_deceived(&self, now: Timestamp, fault: Fault, rule: Rule) -> bool {
        let in_touch = match (fault, rule) {
            (Fault::NeverIsolated, _) => true,
            (Fault::ShortContactNotNeeded, _) | (_, Rule::Long) => self.contact.is_long_held(now),
            (_, Rule::Both) => self.contact.is_held(now),
        };
        self.reaches_primary && !self.fenced && in_touch
    }

    /// What it tells of itself; `holds` is true while it may grant the short contact.
    pub fn tell(&self, now: Timestamp, holds: bool, fault: Fault) -> Told {
        let held = self.contact.is_long_held(now);
        let granted = match holds {
            true => Some(Duration::ZERO),
            false => self.contact.granted_age(now),
        };
        Told {
            store: self.contact.store_age(now).filter(|_| held),
            majority: self.contact.majority_age(now).filter(|_| held),
            granted: granted.filter(|age| *age < SHORT_HOLDS),
            fenced: self.fenced && fault != Fault::RelayedFencesKeptSecret,
        }
    }

    /// Takes in what its relay told of the store and the other nodes.
    pub fn take_news(&mut self, now: Timestamp, asked: Timestamp, told: Told, fault: Fault) {
        self.fenced |= told.fenced;
        if let Some(age) = told.store {
            self.contact.store_replied(since(now, asked, age, fault));
        }
        if let Some(age) = told.majority {
            self.contact.majority_replied(since(now, asked, age, fault));
        }
    }

    /// Takes in a grant of the short contact.
    pub fn take_grant(&mut self, now: Timestamp, asked: Timestamp, told: Told, fault: Fault) {
        self.fenced |= told.fenced && fault != Fault::GrantsWithoutFences;
        if let Some(age) = told.granted {
            self.contact.granted(since(now, asked, age, fault));
        }
    }
}

fn since(now: Timestamp, asked: Timestamp, age: Duration, fault: Fault) -> Timestamp {
    match fault {
        Fault::RelayedAgeIgnored => now,
        _ => asked - age,
    }
}
