//! The duty of replacing primaries: its lease at the store, and who takes it when it has ended.

use std::time::Duration;

use dyketally::failover::GRANTS_SETTLE;
use dyketally::time::Timestamp;
use rand::Rng;

use super::Fault;
use super::world::{Rule, World};

/// Steps between two renewals of the duty's lease.
const DUTY_STEPS: usize = 16;
/// The duty counts as lost this long before its lease can end.
const DUTY_MARGIN: Duration = Duration::from_millis(300);
/// By so much the contact of a renewal of the duty's lease ends sooner than that of another one.
const DUTY_CONTACT_SHORTER: Duration = Duration::from_millis(600);
/// Its time to live.
const DUTY_LEASE: Duration = Duration::from_millis(2_600);

/// The duty as the store has it, and as its holder knows it.
pub struct Duty {
    pub holder: usize,
    /// The end of the lease at the store, in true time.
    pub ends: Timestamp,
    /// When the holder took it and until when it is sure of it, by its own clock.
    pub taken: Timestamp,
    pub sure_until: Timestamp,
}

impl Duty {
    /// The duty of the first node, which has just taken it.
    pub fn first() -> Self {
        let ends = Timestamp::ZERO + DUTY_LEASE;
        Self {
            holder: 0,
            ends,
            taken: Timestamp::ZERO,
            sure_until: ends - DUTY_MARGIN,
        }
    }
}

impl World {
    /// True while a node may grant the short contact.
    pub fn grants(&self, index: usize) -> bool {
        let now = self.now(index);
        self.duties(index).any(|duty| {
            let is_sure = now < duty.sure_until || self.fault == Fault::GrantsOutliveLease;
            let settled = now >= duty.taken + GRANTS_SETTLE || duty.taken == Timestamp::ZERO;
            is_sure && (settled || self.fault == Fault::GrantsUnsettled)
        })
    }

    /// Every time that a node took the duty.
    pub fn duties(&self, index: usize) -> impl Iterator<Item = &Duty> {
        let all = self.former.iter().chain([&self.duty]);
        all.filter(move |duty| duty.holder == index)
    }

    /// True while a node surely holds the duty, by its own clock.
    pub fn surely_holds(&self, index: usize) -> bool {
        let now = self.now(index);
        self.rule == Rule::Long || self.duties(index).any(|duty| now < duty.sure_until)
    }

    /// Renews the duty's lease, or has another node take it when it has ended.
    pub fn keep_duty(&mut self) {
        let holder = self.duty.holder;
        let now = self.now(holder);
        let is_held = self.true_time() < self.duty.ends;
        let acts = !self.is_frozen(holder) && self.nodes[holder].reaches_store;
        if is_held && acts && self.random.random_bool(0.003) {
            // It gives the duty back.
            self.duty.ends = self.true_time();
            self.duty.sure_until = Timestamp::ZERO;
        } else if is_held && acts && self.step.is_multiple_of(DUTY_STEPS) {
            self.duty.ends = self.true_time() + DUTY_LEASE;
            self.duty.sure_until = now + DUTY_LEASE - DUTY_MARGIN;
            let node = &mut self.nodes[holder];
            if node.watches(self.step) || self.fault == Fault::RenewalsWithoutWatchCount {
                node.contact.store_replied(now - DUTY_CONTACT_SHORTER);
            }
            node.fenced |= self.published && self.fault != Fault::StoreNotTold;
        }
        if self.true_time() < self.duty.ends {
            return;
        }
        // The fence in the store goes with the lease.
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
            sure_until: taken + DUTY_LEASE - DUTY_MARGIN,
        };
        let former = std::mem::replace(&mut self.duty, duty);
        self.former.push(former);
        // A holder watches the store itself.
        self.nodes[index].follows = None;
    }
}
