//! One node of the fuzzed world: its contact, what it reaches, and its pending requests.

use std::time::Duration;

use dyketally::failover::{Contact, SHORT_CONTACT_DURATION};
use dyketally::time::Timestamp;

use super::Fault;
use super::world::Rule;

/// Largest rate by which clocks run faster or slower than true time: 0.04 is 40 ms in a second.
pub const CLOCK_ERROR: f64 = 0.04;

/// Steps that a node's watch may take to report a new leader once the node reaches the store again.
const WATCH_STEPS: usize = 30;
/// Steps for which a watch that was lost counts as one that is being renewed.
const RENEWED_STEPS: usize = 20;

/// A node's reply to a request for its contact: how long ago it had each kind, and whether it knows of a fence.
#[derive(Clone, Copy)]
pub struct ContactReport {
    pub store: Option<Duration>,
    pub majority: Option<Duration>,
    pub granted: Option<Duration>,
    pub fenced: bool,
}

/// A request whose reply has yet to arrive.
#[derive(Clone, Copy)]
pub struct Request {
    /// When the request was sent, by the requester's clock.
    pub sent_at: Timestamp,
    /// The step at which the reply comes.
    pub arrives: usize,
    /// The node that replies.
    pub by: usize,
    /// The reply, if it was composed when the request was sent and not when the reply arrives.
    pub report: Option<ContactReport>,
}

#[derive(Clone, Default)]
pub struct Node {
    pub contact: Contact,
    pub asked_nodes: Option<Timestamp>,
    pub renews_at: usize,
    pub fenced: bool,
    /// The node's side of the partition; nodes on different sides don't reach each other.
    pub side: usize,
    pub reaches_store: bool,
    /// Steps for which the node has reached the store without a break.
    pub store_steps: usize,
    /// The last step at which the node's watch was active.
    pub watched_until: usize,
    pub reaches_primary: bool,
    /// The relay that the node follows and through which it has its contact with the store and the other nodes.
    pub follows: Option<usize>,
    /// The node's pending request for updates to its relay.
    pub ping: Option<Request>,
    /// The node's pending request for a grant of the short contact.
    pub grant: Option<Request>,
    /// The step until which the node is paused.
    pub frozen_until: usize,
    /// Rate of the node's clock; 1.0 is true time.
    pub rate: f64,
}

impl Node {
    /// Records for one more step whether the node reaches the store and whether its watch is active.
    pub fn reach_store(&mut self, step: usize) {
        self.store_steps = match self.reaches_store {
            true => self.store_steps + 1,
            false => 0,
        };
        if self.watch_caught_up() {
            self.watched_until = step;
        }
    }

    /// True once the node's watch has reported all that the node missed while it didn't reach the store.
    pub fn watch_caught_up(&self) -> bool {
        self.store_steps > WATCH_STEPS
    }

    /// True while the node's watch is active or is being renewed.
    pub fn watches(&self, step: usize) -> bool {
        step - self.watched_until < RENEWED_STEPS
    }

    /// True while the node trusts the answers of the old primary.
    pub fn trusts_old_primary(&self, now: Timestamp, fault: Fault, rule: Rule) -> bool {
        let in_contact = match (fault, rule) {
            (Fault::NeverIsolated, _) => true,
            (Fault::ShortContactNotNeeded, _) | (_, Rule::Long) => self.contact.long_is_valid(now),
            (_, Rule::Both) => self.contact.is_in_contact(now),
        };
        self.reaches_primary && !self.fenced && in_contact
    }

    /// The node's report of its contact; `may_grant` is true while the node may grant the short contact.
    pub fn contact_report(&self, now: Timestamp, may_grant: bool, fault: Fault) -> ContactReport {
        let held = self.contact.long_is_valid(now);
        let granted = match may_grant {
            true => Some(Duration::ZERO),
            false => self.contact.granted_age(now),
        };
        ContactReport {
            store: self.contact.store_age(now).filter(|_| held),
            majority: self.contact.majority_age(now).filter(|_| held),
            granted: granted.filter(|age| *age < SHORT_CONTACT_DURATION),
            fenced: self.fenced && fault != Fault::RelayedFencesNotReported,
        }
    }

    /// Records what the node's relay reported of the store and the other nodes.
    pub fn record_updates(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        report: ContactReport,
        fault: Fault,
    ) {
        self.fenced |= report.fenced;
        if let Some(age) = report.store {
            self.contact
                .record_store_reply(since(now, sent_at, age, fault));
        }
        if let Some(age) = report.majority {
            self.contact
                .record_majority_reply(since(now, sent_at, age, fault));
        }
    }

    /// Records a grant of the short contact.
    pub fn record_grant(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        report: ContactReport,
        fault: Fault,
    ) {
        self.fenced |= report.fenced && fault != Fault::GrantsWithoutFences;
        if let Some(age) = report.granted {
            self.contact.record_grant(since(now, sent_at, age, fault));
        }
    }
}

fn since(now: Timestamp, sent_at: Timestamp, age: Duration, fault: Fault) -> Timestamp {
    match fault {
        Fault::RelayedAgeIgnored => now,
        _ => sent_at - age,
    }
}
