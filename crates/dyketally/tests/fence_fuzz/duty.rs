//! The duty of replacing primaries: its lease at the store, and the node that takes it when the lease has ended.

use std::time::Duration;

use dyketally::failover::NEW_COORDINATOR_GRANT_DELAY;
use dyketally::time::Timestamp;
use rand::Rng;

use super::Fault;
use super::world::{Rule, World};

/// Steps between two renewals of the duty's lease.
const DUTY_STEPS: usize = 16;
/// The duty counts as lost this long before its lease can end.
const DUTY_MARGIN: Duration = Duration::from_millis(300);
/// The contact that a renewal of the duty's lease gives ends sooner by this time than that of a node's own lease.
const DUTY_CONTACT_SHORTER: Duration = Duration::from_millis(600);
/// Time to live of the duty's lease.
const DUTY_LEASE: Duration = Duration::from_millis(2_600);

/// One tenure of the duty, as the store has it and as its holder knows it.
pub struct Duty {
    pub holder: usize,
    /// The end of the lease at the store, in true time.
    pub ends: Timestamp,
    /// When the holder took the duty, by the holder's clock.
    pub taken: Timestamp,
    /// Until when the holder is certain to hold the duty, by the holder's clock.
    pub certain_until: Timestamp,
}

impl Duty {
    /// The duty of the first node, which has just taken it.
    pub fn first() -> Self {
        let ends = Timestamp::ZERO + DUTY_LEASE;
        Self {
            holder: 0,
            ends,
            taken: Timestamp::ZERO,
            certain_until: ends - DUTY_MARGIN,
        }
    }
}

impl World {
    /// True while node `index` may grant the short contact.
    pub fn grants(&self, index: usize) -> bool {
        let now = self.now(index);
        self.duties(index).any(|duty| {
            let is_certain = now < duty.certain_until || self.fault == Fault::GrantsOutliveLease;
            let settled =
                now >= duty.taken + NEW_COORDINATOR_GRANT_DELAY || duty.taken == Timestamp::ZERO;
            is_certain && (settled || self.fault == Fault::GrantsUnsettled)
        })
    }

    /// All tenures of the duty by node `index`.
    pub fn duties(&self, index: usize) -> impl Iterator<Item = &Duty> {
        let all = self.former_duties.iter().chain([&self.duty]);
        all.filter(move |duty| duty.holder == index)
    }

    /// True while node `index` is certain to hold the duty, by its own clock.
    pub fn is_certain_holder(&self, index: usize) -> bool {
        let now = self.now(index);
        self.rule == Rule::Long || self.duties(index).any(|duty| now < duty.certain_until)
    }

    /// Renews the duty's lease, or has another node take it when it has ended.
    pub fn keep_duty(&mut self) {
        let holder = self.duty.holder;
        let now = self.now(holder);
        let is_held = self.true_time() < self.duty.ends;
        let acts = !self.is_frozen(holder) && self.nodes[holder].reaches_store;
        if is_held && acts && self.random.random_bool(0.003) {
            // The holder gives up the duty.
            self.duty.ends = self.true_time();
            self.duty.certain_until = Timestamp::ZERO;
        } else if is_held && acts && self.step.is_multiple_of(DUTY_STEPS) {
            self.duty.ends = self.true_time() + DUTY_LEASE;
            self.duty.certain_until = now + DUTY_LEASE - DUTY_MARGIN;
            let node = &mut self.nodes[holder];
            if node.watches(self.step) || self.fault == Fault::RenewalsWithoutWatchCount {
                node.contact.record_store_reply(now - DUTY_CONTACT_SHORTER);
            }
            node.fenced |= self.published && self.fault != Fault::FenceNotPublished;
        }
        if self.true_time() < self.duty.ends {
            return;
        }
        // The store removes the fence together with the lease.
        self.published = false;
        let index = self.random.random_range(0..self.nodes.len());
        if !self.nodes[index].reaches_store || self.is_frozen(index) {
            return;
        }
        let taken = self.now(index);
        let duty = Duty {
            holder: index,
            ends: self.true_time() + DUTY_LEASE,
            taken,
            certain_until: taken + DUTY_LEASE - DUTY_MARGIN,
        };
        let ended = std::mem::replace(&mut self.duty, duty);
        self.former_duties.push(ended);
        // A holder of the duty watches the store itself and follows no relay.
        self.nodes[index].follows = None;
    }
}
