//! The fuzzed world: nodes, the store with the lease of the duty, and one primary.

use std::time::Duration;

use dyketally::failover::{Contact, is_majority};
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Fault;
use super::duty::Duty;
use super::node::{CLOCK_ERROR, ContactReport, Node, Request};
use super::round::Round;

const STEP: Duration = Duration::from_millis(50);
const STEPS: usize = 400;
/// Steps between two renewals of a node's lease.
const RENEWAL_STEPS: usize = 40;
/// Steps between two pings of a node to the relay that it follows.
const PING_STEPS: usize = 7;
/// Number of steps within which a ping is answered.
const PONG_STEPS: usize = 5;
/// Steps between two requests for a grant of the short contact.
const GRANT_STEPS: usize = 2;

/// Which contact nodes need to trust a primary, and fences wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The long contact alone, and no fence closes early. Nodes are only cut off, and the first one keeps the duty.
    Long,
    /// The long and the short contact. Nodes are also paused, clocks run at different rates, and the duty changes
    /// hands.
    Both,
}

/// The result of a run.
pub struct Outcome {
    /// The step and the node at which the old primary was trusted after it was replaced.
    pub wrong_trust: Option<String>,
    /// True when a fence closed before the long contact of the silent nodes had ended.
    pub closed_early: bool,
}

pub struct World {
    pub fault: Fault,
    pub rule: Rule,
    pub random: StdRng,
    pub nodes: Vec<Node>,
    store_runs: bool,
    pub step: usize,
    pub duty: Duty,
    /// Earlier tenures of the duty, oldest first.
    pub former_duties: Vec<Duty>,
    pub round: Option<Round>,
    /// True while the store reports the fence.
    pub published: bool,
    pub replaced: bool,
    pub closed_early: bool,
}

impl World {
    pub fn new(seed: u64, fault: Fault, rule: Rule) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(1..9);
        let mut contact = Contact::default();
        // A node has its knowledge of primaries from the store.
        contact.record_store_reply(Timestamp::ZERO);
        contact.record_grant(Timestamp::ZERO);
        // The first holder of the duty follows no relay.
        let mut relays = vec![0];
        let follows: Vec<Option<usize>> = (0..count)
            .map(|index| {
                let relay = relays[random.random_range(0..relays.len())];
                let follows = index > 0 && random.random_bool(0.5);
                if index > 0 && !follows {
                    relays.push(index);
                }
                follows.then_some(relay)
            })
            .collect();
        let nodes = follows.into_iter().map(|follows| Node {
            contact,
            follows,
            renews_at: random.random_range(0..RENEWAL_STEPS),
            reaches_store: true,
            reaches_primary: true,
            rate: match rule {
                Rule::Long => 1.0,
                Rule::Both => 1.0 + random.random_range(-CLOCK_ERROR..CLOCK_ERROR),
            },
            ..Node::default()
        });
        let nodes = nodes.collect();
        Self {
            fault,
            rule,
            nodes,
            random,
            store_runs: true,
            step: 0,
            duty: Duty::first(),
            former_duties: Vec::new(),
            round: None,
            published: false,
            replaced: false,
            closed_early: false,
        }
    }

    pub fn true_time(&self) -> Timestamp {
        Timestamp::ZERO + STEP * u32::try_from(self.step).expect("few steps")
    }

    pub fn now(&self, index: usize) -> Timestamp {
        let elapsed = self.true_time().saturating_since(Timestamp::ZERO);
        Timestamp::ZERO + elapsed.mul_f64(self.nodes[index].rate)
    }

    pub fn is_frozen(&self, index: usize) -> bool {
        self.nodes[index].frozen_until > self.step
    }

    pub fn reaches_node(&self, one: usize, other: usize) -> bool {
        self.nodes[one].side == self.nodes[other].side && !self.is_frozen(other)
    }

    /// Cuts nodes off from each other, from the store and from the primary, or heals all of it.
    fn cut(&mut self) {
        let nodes = self.nodes.iter().enumerate();
        let relays: Vec<usize> = nodes
            .filter(|(_, node)| node.follows.is_none())
            .map(|(index, _)| index)
            .collect();
        let random = &mut self.random;
        let sides = random.random_range(1..4_usize);
        let store_side = random.random_range(0..sides);
        let primary_side = random.random_range(0..sides);
        self.store_runs = random.random_bool(0.8);
        for node in &mut self.nodes {
            node.side = random.random_range(0..sides);
            if let Some(relay) = &mut node.follows
                && random.random_bool(0.3)
            {
                // The node follows another relay.
                *relay = relays[random.random_range(0..relays.len())];
            }
            let besides = self.rule == Rule::Both;
            let reaches = node.side == store_side || (besides && random.random_bool(0.2));
            node.reaches_store = self.store_runs && reaches;
            node.reaches_primary = node.side == primary_side || random.random_bool(0.1);
            if self.rule == Rule::Both && random.random_bool(0.1) {
                node.frozen_until = self.step + random.random_range(1..160);
            }
        }
    }

    /// Records the reply of a node's relay, and sends the relay the next ping.
    fn keep_contact_through(&mut self, index: usize, relay: usize) {
        let now = self.now(index);
        let arrived = self.nodes[index]
            .ping
            .take_if(|ping| ping.arrives <= self.step);
        if let Some(ping) = arrived
            && self.reaches_node(index, relay)
            && ping.by == relay
        {
            let report = ping.report.unwrap_or_else(|| self.contact_report(relay));
            self.nodes[index].record_updates(now, ping.sent_at, report, self.fault);
        }
        let node = &self.nodes[index];
        let renews = self.step % RENEWAL_STEPS == node.renews_at && node.reaches_store;
        if renews && self.fault == Fault::OwnCallsOfFollowersCount {
            self.nodes[index].contact.record_store_reply(now);
        }
        if self.step % PING_STEPS == self.nodes[index].renews_at % PING_STEPS {
            self.nodes[index].ping = self.send_request(index, relay, PONG_STEPS);
        }
    }

    /// Records a grant of the short contact, and requests the next one.
    fn ask_for_grant(&mut self, index: usize) {
        let now = self.now(index);
        let arrived = self.nodes[index]
            .grant
            .take_if(|grant| grant.arrives <= self.step);
        if let Some(grant) = arrived
            && self.reaches_node(index, grant.by)
        {
            let report = grant
                .report
                .unwrap_or_else(|| self.contact_report(grant.by));
            self.nodes[index].record_grant(now, grant.sent_at, report, self.fault);
        }
        if self.grants(index) {
            self.nodes[index].contact.record_grant(now);
        } else if self.step.is_multiple_of(GRANT_STEPS) && self.nodes[index].grant.is_none() {
            let node = &self.nodes[index];
            let relay = node.follows.filter(|_| !node.contact.is_grant_late(now));
            let mut holders = self.former_duties.iter().map(|duty| duty.holder);
            // The node may not know yet which node has the duty.
            let former_holder = holders.next_back().filter(|_| self.random.random_bool(0.3));
            let by = relay.or(former_holder).unwrap_or(self.duty.holder);
            self.nodes[index].grant = self.send_request(index, by, GRANT_STEPS);
        }
    }

    fn send_request(&mut self, index: usize, by: usize, longest: usize) -> Option<Request> {
        if !self.reaches_node(index, by) {
            return None;
        }
        let at_once = self.random.random_bool(0.5);
        Some(Request {
            sent_at: self.now(index),
            arrives: self.step + self.random.random_range(0..longest),
            by,
            report: at_once.then(|| self.contact_report(by)),
        })
    }

    fn contact_report(&self, index: usize) -> ContactReport {
        let now = self.now(index);
        self.nodes[index].contact_report(now, self.grants(index), self.fault)
    }

    fn keep_contact(&mut self, index: usize) {
        match self.rule {
            Rule::Long => {
                let now = self.now(index);
                self.nodes[index].contact.record_grant(now);
            }
            Rule::Both => self.ask_for_grant(index),
        }
        if let Some(relay) = self.nodes[index].follows {
            self.keep_contact_through(index, relay);
            return;
        }
        let now = self.now(index);
        let fault = self.fault;
        let fenced_in_store = self.published && fault != Fault::FenceNotPublished;
        let is_holder = self.duty.holder == index && self.rule == Rule::Both;
        let node = &mut self.nodes[index];
        let renews = self.step % RENEWAL_STEPS == node.renews_at && !is_holder;
        if renews && node.reaches_store {
            if fault == Fault::NoCatchUp && !node.contact.long_is_valid(now) {
                node.contact = Contact::default();
            }
            node.contact.record_store_reply(now);
            node.fenced |= fenced_in_store;
        }
        let due = node.contact.ask_nodes_at(node.asked_nodes);
        if due.is_none_or(|at| at > now) {
            return;
        }
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        let reached: Vec<usize> = others
            .filter(|other| self.reaches_node(index, *other))
            .collect();
        let fenced_at_peer = reached.iter().any(|other| self.nodes[*other].fenced);
        let majority = is_majority(reached.len(), self.nodes.len());
        let node = &mut self.nodes[index];
        node.asked_nodes = Some(now);
        node.fenced |= fenced_at_peer && self.fault != Fault::FencesNotReported;
        if majority {
            node.contact.record_majority_reply(now);
        }
    }

    /// A node that treats the old primary as the leader, without polling, after it was replaced.
    fn wrong_trust(&self) -> Option<usize> {
        let mut indices = 0..self.nodes.len();
        let trusts = |index: usize| {
            let now = self.now(index);
            !self.is_frozen(index)
                && self.nodes[index].trusts_old_primary(now, self.fault, self.rule)
        };
        self.replaced
            .then(|| indices.find(|index| trusts(*index)))
            .flatten()
    }

    /// Nodes that reach the store receive a successor from there, after `WATCH_STEPS`.
    fn watch(&mut self) {
        for node in &mut self.nodes {
            node.reach_store(self.step);
            let watches = node.follows.is_none() && node.frozen_until <= self.step;
            node.fenced |= watches && self.replaced && node.watch_caught_up();
        }
    }

    pub fn run(mut self) -> Outcome {
        let mut wrong_trust = None;
        for step in 0..STEPS {
            self.step = step;
            if self.random.random_bool(0.01) {
                self.cut();
            }
            self.watch();
            if self.rule == Rule::Both {
                self.keep_duty();
            }
            for index in 0..self.nodes.len() {
                if !self.is_frozen(index) {
                    self.keep_contact(index);
                }
            }
            self.replace();
            if let Some(index) = self.wrong_trust() {
                wrong_trust = Some(format!("step {step}: node {index} of {}", self.nodes.len()));
                break;
            }
        }
        Outcome {
            wrong_trust,
            closed_early: self.closed_early,
        }
    }
}
