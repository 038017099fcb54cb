//! The world that is fuzzed: nodes, the store with the lease of the duty, and one primary.

use std::time::Duration;

use dyketally::failover::{Contact, is_majority};
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Fault;
use super::duty::Duty;
use super::node::{CLOCK_ERROR, Node, Question, Told};
use super::round::Round;

const STEP: Duration = Duration::from_millis(50);
const STEPS: usize = 400;
/// Steps between two renewals of a node's lease.
const RENEWAL_STEPS: usize = 40;
/// Steps between two pings of a node to the relay that it follows, and after which one is answered
/// at the latest.
const PING_STEPS: usize = 7;
const PONG_STEPS: usize = 5;
/// Steps between two questions for the short contact.
const GRANT_STEPS: usize = 2;

/// Which contact nodes need to trust a primary, and fences wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The long one alone, and no fence closes early. Nodes are only cut off, and the first one keeps
    /// the duty.
    Long,
    /// Both. Nodes stand still, too, clocks run at different rates, and the duty changes hands.
    Both,
}

/// What came of a run.
pub struct Outcome {
    /// Who trusted the old primary after it was replaced.
    pub deceived: Option<String>,
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
    /// Those that held the duty before.
    pub former: Vec<Duty>,
    pub round: Option<Round>,
    /// True while the store tells of the fence.
    pub published: bool,
    pub replaced: bool,
    pub closed_early: bool,
}

impl World {
    pub fn new(seed: u64, fault: Fault, rule: Rule) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(1..9);
        let mut contact = Contact::default();
        // What a node knows of primaries it has from the store.
        contact.store_replied(Timestamp::ZERO);
        contact.granted(Timestamp::ZERO);
        // The first holder of the duty relies on nobody.
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
            former: Vec::new(),
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

    pub fn hears(&self, one: usize, other: usize) -> bool {
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
                // It takes another relay.
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

    /// Takes in what the relay of a node tells, and sends it the next ping.
    fn rely_on(&mut self, index: usize, relay: usize) {
        let now = self.now(index);
        let arrived = self.nodes[index]
            .ping
            .take_if(|ping| ping.arrives <= self.step);
        if let Some(ping) = arrived
            && self.hears(index, relay)
            && ping.by == relay
        {
            let told = ping.told.unwrap_or_else(|| self.tell(relay));
            self.nodes[index].take_news(now, ping.asked, told, self.fault);
        }
        let node = &self.nodes[index];
        let renews = self.step % RENEWAL_STEPS == node.renews_at && node.reaches_store;
        if renews && self.fault == Fault::OwnCallsOfFollowersCount {
            self.nodes[index].contact.store_replied(now);
        }
        if self.step % PING_STEPS == self.nodes[index].renews_at % PING_STEPS {
            self.nodes[index].ping = self.question(index, relay, PONG_STEPS);
        }
    }

    /// Asks for the short contact, and takes it in.
    fn ask_for_grant(&mut self, index: usize) {
        let now = self.now(index);
        let arrived = self.nodes[index]
            .grant
            .take_if(|grant| grant.arrives <= self.step);
        if let Some(grant) = arrived
            && self.hears(index, grant.by)
        {
            let told = grant.told.unwrap_or_else(|| self.tell(grant.by));
            self.nodes[index].take_grant(now, grant.asked, told, self.fault);
        }
        if self.grants(index) {
            self.nodes[index].contact.granted(now);
        } else if self.step.is_multiple_of(GRANT_STEPS) && self.nodes[index].grant.is_none() {
            let node = &self.nodes[index];
            let relay = node.follows.filter(|_| !node.contact.is_grant_late(now));
            let mut holders = self.former.iter().map(|duty| duty.holder);
            // It may not have heard yet who has the duty.
            let former = holders.next_back().filter(|_| self.random.random_bool(0.3));
            let by = relay.or(former).unwrap_or(self.duty.holder);
            self.nodes[index].grant = self.question(index, by, GRANT_STEPS);
        }
    }

    fn question(&mut self, index: usize, by: usize, longest: usize) -> Option<Question> {
        if !self.hears(index, by) {
            return None;
        }
        let at_once = self.random.random_bool(0.5);
        Some(Question {
            asked: self.now(index),
            arrives: self.step + self.random.random_range(0..longest),
            by,
            told: at_once.then(|| self.tell(by)),
        })
    }

    fn tell(&self, index: usize) -> Told {
        let now = self.now(index);
        self.nodes[index].tell(now, self.grants(index), self.fault)
    }

    fn keep_in_touch(&mut self, index: usize) {
        match self.rule {
            Rule::Long => {
                let now = self.now(index);
                self.nodes[index].contact.granted(now);
            }
            Rule::Both => self.ask_for_grant(index),
        }
        if let Some(relay) = self.nodes[index].follows {
            self.rely_on(index, relay);
            return;
        }
        let now = self.now(index);
        let fault = self.fault;
        let told = self.published && fault != Fault::StoreNotTold;
        let is_holder = self.duty.holder == index && self.rule == Rule::Both;
        let node = &mut self.nodes[index];
        let renews = self.step % RENEWAL_STEPS == node.renews_at && !is_holder;
        if renews && node.reaches_store {
            if fault == Fault::NoCatchUp && !node.contact.is_long_held(now) {
                node.contact = Contact::default();
            }
            node.contact.store_replied(now);
            node.fenced |= told;
        }
        let due = node.contact.ask_nodes_at(node.asked_nodes);
        if due.is_none_or(|at| at > now) {
            return;
        }
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        let heard: Vec<usize> = others.filter(|other| self.hears(index, *other)).collect();
        let told = heard.iter().any(|other| self.nodes[*other].fenced);
        let majority = is_majority(heard.len(), self.nodes.len());
        let node = &mut self.nodes[index];
        node.asked_nodes = Some(now);
        node.fenced |= told && self.fault != Fault::FencesKeptSecret;
        if majority {
            node.contact.majority_replied(now);
        }
    }

    /// A node that would take the old primary's answer for a leader's without asking.
    fn deceived(&self) -> Option<usize> {
        let mut indices = 0..self.nodes.len();
        let trusts = |index: usize| {
            let now = self.now(index);
            !self.is_frozen(index) && self.nodes[index].is_deceived(now, self.fault, self.rule)
        };
        self.replaced
            .then(|| indices.find(|index| trusts(*index)))
            .flatten()
    }

    /// Nodes that reach the store hear of a successor there, a little later.
    fn watch(&mut self) {
        for node in &mut self.nodes {
            node.reach_store(self.step);
            let watches = node.follows.is_none() && node.frozen_until <= self.step;
            node.fenced |= watches && self.replaced && node.was_told();
        }
    }

    pub fn run(mut self) -> Outcome {
        let mut deceived = None;
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
                    self.keep_in_touch(index);
                }
            }
            self.replace();
            if let Some(index) = self.deceived() {
                deceived = Some(format!("step {step}: node {index} of {}", self.nodes.len()));
                break;
            }
        }
        Outcome {
            deceived,
            closed_early: self.closed_early,
        }
    }
}
