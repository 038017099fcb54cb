//! Fence rounds before the primary is replaced, and its replacement.

use std::time::Duration;

use dyketally::failover::{FenceRound, FenceVerdict};
use dyketally::time::Timestamp;
use rand::Rng;

use super::Fault;
use super::world::{Rule, World};

/// Steps between two rounds of asking nodes to confirm.
const REQUEST_STEPS: usize = 3;
/// The long contact of nodes that didn't confirm a fence has ended this long after the fence was published in the
/// store, provided that `HALF_ISOLATES` has passed as well.
const PUBLISHED_ISOLATES: Duration = Duration::from_millis(3_200);
/// The long contact of nodes that didn't confirm a fence has ended this long after half of the nodes confirmed it,
/// provided that `PUBLISHED_ISOLATES` has passed as well.
const HALF_ISOLATES: Duration = Duration::from_millis(1_200);

/// A fence round, owned by the node that held the duty when the round began.
pub struct Round {
    round: FenceRound,
    owner: usize,
    /// The step at which the store's answer comes that the fence is published.
    answer_at: Option<usize>,
    /// Since when the owner knows that the fence is published, by the owner's clock.
    published: Option<Timestamp>,
    /// Since when half of the nodes have confirmed, by the owner's clock.
    half: Option<Timestamp>,
    began: usize,
    confirmed: Vec<bool>,
}

impl World {
    /// The holder of the duty begins a fence round when it doesn't reach the primary, and the owner of a round goes on
    /// with it until the primary is replaced or the fence is cleared.
    pub fn replace(&mut self) {
        let holder = self.duty.holder;
        let owner = self.round.as_ref().map_or(holder, |round| round.owner);
        let begins = !self.nodes[holder].reaches_primary && self.is_certain_holder(holder);
        if self.replaced || self.is_frozen(owner) || !(self.round.is_some() || begins) {
            return;
        }
        let now = self.now(owner);
        let mut round = self.round.take().unwrap_or_else(|| self.new_round(owner));
        if (self.step - round.began).is_multiple_of(REQUEST_STEPS) {
            if self.step > round.began && round.answer_at.is_none() {
                round.answer_at = self.publish(owner);
            }
            self.request_confirmations(&mut round);
        }
        if round.answer_at.is_some_and(|at| at <= self.step) {
            round.round.record_published(now);
            round.published.get_or_insert(now);
        }
        let lease_is_valid =
            self.is_certain_holder(owner) || self.fault == Fault::ClosesWithoutLease;
        if !lease_is_valid {
            round.round.record_lease_broken();
        }
        match self.adjusted_verdict(&round) {
            // Without the lease the owner has no token to appoint a successor with.
            FenceVerdict::Closed if !lease_is_valid => {}
            FenceVerdict::Closed => {
                self.replaced = true;
                self.published = false;
                self.closed_early = self.is_early(&round);
            }
            FenceVerdict::Open => self.round = Some(round),
            FenceVerdict::Contested | FenceVerdict::NoQuorum => self.clear_fence(owner),
        }
    }

    /// Publishes the fence in the store and returns the step at which the answer comes. The owner may be paused
    /// meanwhile.
    fn publish(&mut self, owner: usize) -> Option<usize> {
        let lease_is_valid = self.true_time() < self.duty.ends || self.rule == Rule::Long;
        if self.duty.holder != owner || !lease_is_valid || !self.nodes[owner].reaches_store {
            return None;
        }
        self.published = true;
        if self.rule == Rule::Long {
            return Some(self.step);
        }
        if self.random.random_bool(0.1) {
            self.nodes[owner].frozen_until = self.step + self.random.random_range(1..160);
        }
        Some(self.step + self.random.random_range(0..4))
    }

    fn new_round(&mut self, owner: usize) -> Round {
        let now = self.now(owner);
        let mut confirmed = vec![false; self.nodes.len()];
        confirmed[owner] = true;
        self.nodes[owner].fenced = true;
        let mut round = FenceRound::new(now, self.nodes.len());
        round.record_confirmation(now);
        Round {
            round,
            owner,
            answer_at: None,
            published: None,
            half: (self.nodes.len() <= 2).then_some(now),
            began: self.step,
            confirmed,
        }
    }

    fn request_confirmations(&mut self, round: &mut Round) {
        let owner = round.owner;
        let now = self.now(owner);
        let mut confirmations = round.confirmed.iter().filter(|it| **it).count();
        for (index, confirmed) in round.confirmed.iter_mut().enumerate() {
            if *confirmed || !self.reaches_node(owner, index) {
                continue;
            }
            match self.nodes[index].reaches_primary {
                true if self.fault != Fault::ConfirmedOnly => round.round.record_contested(),
                reaches => {
                    let at = match self.fault {
                        Fault::QuorumBackdated => Timestamp::ZERO,
                        _ => now,
                    };
                    round.round.record_confirmation(at);
                    *confirmed = true;
                    confirmations += 1;
                    if confirmations * 2 >= self.nodes.len() {
                        round.half.get_or_insert(at);
                    }
                    self.nodes[index].fenced = !reaches;
                }
            }
        }
    }

    fn adjusted_verdict(&self, round: &Round) -> FenceVerdict {
        let verdict = round.round.verdict(self.now(round.owner));
        match (self.fault, verdict) {
            (fault, FenceVerdict::Closed) if self.is_early(round) && self.rule == Rule::Long => {
                match fault {
                    Fault::SilentNodesIgnored => FenceVerdict::Closed,
                    _ => FenceVerdict::Open,
                }
            }
            (Fault::SilentNodesIgnored, FenceVerdict::Open) => FenceVerdict::Closed,
            (Fault::NoQuorumNeeded, FenceVerdict::NoQuorum) => FenceVerdict::Closed,
            _ => verdict,
        }
    }

    /// True when the long contact of nodes that didn't confirm may still hold.
    fn is_early(&self, round: &Round) -> bool {
        let now = self.now(round.owner);
        let lasted = |since: Option<Timestamp>, time| {
            since.is_some_and(|since| now.saturating_since(since) >= time)
        };
        let silent = round.confirmed.iter().any(|confirmed| !confirmed);
        silent
            && !(lasted(round.published, PUBLISHED_ISOLATES) && lasted(round.half, HALF_ISOLATES))
    }

    /// Clears the fence at the store and at all nodes that the owner reaches; other nodes keep it.
    fn clear_fence(&mut self, owner: usize) {
        self.published = false;
        for index in 0..self.nodes.len() {
            if self.reaches_node(owner, index) {
                self.nodes[index].fenced = false;
            }
        }
    }
}
