//! The simulated world of a run: service, operators and nodes.

use std::time::Duration;

use dyketally::time::Timestamp;

use super::fleet::Fleet;
use super::operators::Operators;
use super::service::Service;
use super::{MessageFate, NODES, OPERATORS, RequestFate, Transition};

/// Duration of a round in which everything works and every node probes every other.
const ROUND: Duration = Duration::from_millis(100);

/// Changes that are accepted before any node starts.
const ACCEPTED_BEFORE: usize = 6;

/// More messages than any round in which everything works can need.
const MOST_MESSAGES: u32 = 10_000;

pub struct World {
    now: Timestamp,
    service: Service,
    operators: Operators,
    fleet: Fleet,
}

impl World {
    /// A world with `ACCEPTED_BEFORE` accepted changes and one relay.
    pub fn new() -> Self {
        let mut world = Self {
            now: Timestamp::ZERO,
            service: Service::new(),
            operators: Operators::new(),
            fleet: Fleet::new(),
        };
        for _ in 0..ACCEPTED_BEFORE {
            world.step(Transition::Accept { operator: 0 });
        }
        world.fleet.set_relay(0, true, world.now);
        world
    }

    pub fn step(&mut self, transition: Transition) {
        let now = self.now;
        match transition {
            Transition::Publish { operator, behind } => {
                let seen = self.service.current().saturating_sub(behind);
                self.operators.publish(operator, seen, now);
            }
            Transition::Accept { operator } => {
                self.operators
                    .publish(operator, self.service.current(), now);
                let fate = RequestFate::Answered;
                self.operators.step(operator, fate, &mut self.service, now);
            }
            Transition::OperatorStep { operator, fate } => {
                self.operators.step(operator, fate, &mut self.service, now);
            }
            Transition::DelayedRequest(index) => {
                let delayed = self.service.delayed();
                if delayed > 0 && !self.service.down {
                    self.service.arrive(index.index(delayed));
                }
            }
            Transition::Outage(down) => self.service.down = down,
            Transition::Probe { from, to } => self.fleet.probe(from, to),
            Transition::Message(index, fate) => {
                let messages = self.fleet.messages();
                if messages > 0 {
                    self.fleet.deliver(index.index(messages), fate, now);
                }
            }
            Transition::Tick { milliseconds } => {
                self.now = now + Duration::from_millis(milliseconds);
                self.fleet.tick(self.now);
            }
            Transition::Relay { node, relay } => self.fleet.set_relay(node, relay, now),
            Transition::Watch { node, fails } => {
                self.fleet.watch(node, fails, &self.service, now);
            }
            Transition::Replace { node } => self.fleet.replace(node, now),
            Transition::Garbage { node, garbage } => {
                self.fleet.garbage(node, garbage, &self.service, now);
            }
        }
    }

    pub fn check(&self) {
        self.operators.check(&self.service);
        self.fleet.check(&self.service);
    }

    /// Restores the service and a relay, and plays healthy rounds until every wait has ended.
    pub fn heal(&mut self) {
        self.service.down = false;
        if !self.fleet.has_relay() {
            self.fleet.set_relay(0, true, self.now);
        }
        let end = self.now + Fleet::longest_wait();
        while self.now < end {
            self.healthy_round();
            self.check();
        }
    }

    fn healthy_round(&mut self) {
        self.now = self.now + ROUND;
        self.fleet.tick(self.now);
        for operator in 0..OPERATORS {
            let fate = RequestFate::Answered;
            self.operators
                .step(operator, fate, &mut self.service, self.now);
        }
        for node in 0..NODES {
            self.fleet.watch(node, false, &self.service, self.now);
            for peer in (0..NODES).filter(|peer| *peer != node) {
                self.fleet.probe(node, peer);
            }
        }
        let mut delivered = 0;
        while self.fleet.messages() > 0 {
            delivered += 1;
            assert!(
                delivered < MOST_MESSAGES,
                "nodes still send messages after {delivered} deliveries"
            );
            self.fleet.deliver(0, MessageFate::Delivered, self.now);
        }
    }

    pub fn check_converged(&self) {
        let converged = self.fleet.converged(&self.service);
        let revisions = self.fleet.revisions();
        let current = self.service.current();
        assert!(
            converged,
            "nodes are at revisions {revisions:?}, the service is at {current}"
        );
    }
}
