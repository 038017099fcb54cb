//! The simulated system: runs what is due and carries out actions.

mod actions;
mod finish;

use std::time::Duration;

use dyketally::group::Role;
use dyketally::history::{CheckSettings, Event, Violation, check};
use dyketally::identifiers::NodeName;
use rand::Rng;

use crate::actions::{Action, LookupTarget, Move, Step};
use crate::callers::{CALLERS, Caller};
use crate::configuration::{Operator, Service};
use crate::database::{self, Database, member_name};
use crate::edge::{Call, Wish};
use crate::environment::{
    Arrived, Environment, Happening, MEMBERS, NODES, OPERATORS, PLACES, Place, Process, SERVICE,
    database_place, operator_place,
};
use crate::messages::ClientMessage;
use crate::node::{self, Node, NodeRequest};
use crate::switches::Switch;

const RESTART_DELAY: u64 = 60_000;
/// A frozen process reads what is due so much later, or later still.
const POSTPONED: u64 = 1_000;
const CALLERS_TICK: u64 = 10_000;
const LONGEST_NOTICE_LAG: u64 = 300_000;
const LEAVING_GRACE: Duration = Duration::from_millis(1_500);
const HEALING: u64 = 1_000_000;
const SETTLING: u64 = 300_000;

pub struct World {
    environment: Environment,
    nodes: Vec<Node>,
    databases: Vec<Database>,
    callers: Vec<Caller>,
    service: Service,
    operators: Vec<Operator>,
}

impl World {
    pub fn new(seed: u64, switch: Option<Switch>) -> Self {
        let mut environment = Environment::new(seed, switch);
        for place in 0..PLACES {
            environment.after(
                place as u64 * 100,
                Happening::Tick {
                    place,
                    incarnation: 0,
                },
            );
        }
        environment.after(CALLERS_TICK, Happening::ClientsTick);
        let mut world = World {
            environment,
            nodes: (0..NODES).map(Node::new).collect(),
            databases: (0..MEMBERS).map(Database::new).collect(),
            callers: (0..CALLERS).map(Caller::new).collect(),
            service: Service::default(),
            operators: (0..OPERATORS)
                .map(operator_place)
                .map(Operator::new)
                .collect(),
        };
        world.run_for(20_000);
        world
    }

    pub fn run_for(&mut self, micros: u64) {
        let until = self.environment.world_time() + Duration::from_micros(micros);
        while let Some(happening) = self.environment.next(until) {
            self.happen(happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(place) = happening.reader()
            && self.environment.is_frozen(place)
        {
            return self.environment.after(POSTPONED, happening);
        }
        match happening {
            Happening::Arrival { connection, to } => {
                if let Some(arrived) = self.environment.arrive(connection, to) {
                    self.arrived(arrived);
                }
            }
            Happening::Tick { place, incarnation } => self.tick(place, incarnation),
            Happening::Replicate { from, to, message } => {
                if self.environment.alive[to] && self.environment.reaches(from, to) {
                    let now = self.environment.world_time();
                    self.databases[to - NODES].follow(*message, now);
                }
            }
            Happening::Datagram { from, to, message } => {
                if self.environment.alive[to] && self.environment.reaches(from, to) {
                    let follower = &mut self.nodes[to].follower;
                    follower.take(&mut self.environment, from, *message);
                }
            }
            Happening::ToClient(message) => self.deliver_answer(message),
            Happening::Restart { place } => self.restart(place),
            Happening::Thaw { place } => self.environment.thaw(place),
            Happening::LeavingNotice { place, member } => {
                if self.environment.alive[place] {
                    let home = &mut self.nodes[place].home;
                    home.database_leaves(&mut self.environment, member);
                }
            }
            Happening::ClientsTick => self.tick_callers(),
        }
    }

    fn arrived(&mut self, arrived: Arrived) {
        let environment = &mut self.environment;
        let (id, place) = (arrived.connection, arrived.place);
        match Process::at(place) {
            Process::Node => self.nodes[place].arrived(environment, arrived),
            Process::Database(member) => {
                self.databases[member].handle(environment, id, arrived.payload);
            }
            Process::Service => self.service.handle(environment, id, arrived.payload),
            Process::Operator(operator) => {
                self.operators[operator].handle(environment, id, arrived.payload);
            }
        }
    }

    fn tick(&mut self, place: Place, incarnation: u64) {
        if self.environment.incarnations[place] != incarnation || !self.environment.alive[place] {
            return;
        }
        let process = Process::at(place);
        let interval = match process {
            Process::Node => node::TICK,
            _ => database::TICK,
        };
        let again = Happening::Tick { place, incarnation };
        self.environment.after(interval, again);
        if self.environment.is_frozen(place) {
            return;
        }
        match process {
            Process::Node => {
                for request in self.nodes[place].tick(&mut self.environment) {
                    self.carry_out(place, request);
                }
            }
            Process::Database(member) => self.tick_database(member),
            Process::Service => {}
            Process::Operator(operator) => self.operators[operator].tick(&mut self.environment),
        }
    }

    fn tick_database(&mut self, member: usize) {
        let now = self.environment.world_time();
        if self.databases[member].wants_election(now) {
            self.databases[member].retry_election_later(now);
            self.elect(member);
        }
        if self.databases[member].leaving && self.databases[member].role == Role::Primary {
            self.elect((member + 1) % MEMBERS);
        }
        let lags = [0, 1, 2].map(|member: usize| self.databases[member].lag);
        self.databases[member].replicate(&mut self.environment, lags);
    }

    /// An election in one step: votes count only if asked and told over links that work.
    fn elect(&mut self, candidate: usize) {
        let from = database_place(candidate);
        if !self.environment.is_running(from) || self.databases[candidate].role == Role::Primary {
            return;
        }
        let now = self.environment.world_time();
        let log = self.databases[candidate].status().log;
        let mut term = self.databases[candidate].term;
        let others = |member: &usize| *member != candidate;
        for voter in (0..MEMBERS).filter(others) {
            let to = database_place(voter);
            let both = self.environment.reaches(from, to) && self.environment.reaches(to, from);
            if both && self.environment.is_running(to) {
                term = term.max(self.databases[voter].term);
            }
        }
        term.0 += 1;
        self.databases[candidate].enter(term);
        let mut votes = 1;
        for voter in (0..MEMBERS).filter(others) {
            let to = database_place(voter);
            if !self.environment.is_running(to) || !self.environment.reaches(from, to) {
                continue;
            }
            let granted = self.databases[voter].vote(term, log, now);
            votes += usize::from(granted && self.environment.reaches(to, from));
        }
        if votes > MEMBERS / 2 {
            self.databases[candidate].lead(term);
        }
    }

    fn carry_out(&mut self, place: Place, request: NodeRequest) {
        match request {
            NodeRequest::AnnounceLeaving => {
                let others = (0..NODES).filter(|other| *other != place);
                let mut all = true;
                for other in others {
                    let told = self.environment.reaches(place, other)
                        && self.environment.is_running(other);
                    self.nodes[other].edge.leaving[place] |= told;
                    all &= told;
                }
                if all {
                    self.nodes[place].peers_informed();
                }
            }
            NodeRequest::CloseIdleCallers => {
                for number in 0..CALLERS {
                    if self.callers[number].node == place && !self.callers[number].is_busy() {
                        self.roam(number, (place + 1) % NODES);
                    }
                }
            }
            NodeRequest::Exit { cut_off } => self.exit(place, cut_off),
        }
    }

    fn exit(&mut self, place: Place, cut_off: usize) {
        let incarnation = self.environment.incarnations[place];
        self.environment.record(Event::Stopped {
            node: NodeName::new(format!("node-{place}-{incarnation}")),
            cut_off: cut_off as u64,
        });
        self.kill(place);
    }

    fn kill(&mut self, place: Place) {
        if !self.environment.alive[place] {
            return;
        }
        self.environment.kill(place);
        self.environment
            .after(RESTART_DELAY, Happening::Restart { place });
        for number in 0..CALLERS {
            if place < NODES && self.callers[number].node == place {
                self.roam(number, (place + 1) % NODES);
            }
        }
    }

    fn restart(&mut self, place: Place) {
        if self.environment.alive[place] {
            return;
        }
        self.environment.restart(place);
        let incarnation = self.environment.incarnations[place];
        match Process::at(place) {
            Process::Node => {
                self.nodes[place] = Node::new(place);
                for other in 0..NODES {
                    self.nodes[other].edge.leaving[place] = false;
                }
            }
            Process::Database(member) => {
                let now = self.environment.world_time();
                self.databases[member].restarted(now);
            }
            Process::Service => self.service.restarted(),
            Process::Operator(operator) => self.operators[operator] = Operator::new(place),
        }
        self.environment
            .after(500, Happening::Tick { place, incarnation });
    }

    fn deliver_answer(&mut self, message: ClientMessage) {
        let number = message.client;
        let elsewhere = self.callers[number].take(&mut self.environment, message);
        if elsewhere {
            let node = self.callers[number].node;
            self.roam(number, (node + 1) % NODES);
        }
    }

    fn tick_callers(&mut self) {
        self.environment.after(CALLERS_TICK, Happening::ClientsTick);
        let now = self.environment.world_time();
        for number in 0..CALLERS {
            if self.callers[number].lost_patience(now) {
                let node = self.callers[number].node;
                self.roam(number, (node + 1) % NODES);
            }
        }
    }

    fn roam(&mut self, number: usize, to: Place) {
        let from = self.callers[number].node;
        self.callers[number].hang_up(&mut self.environment);
        self.callers[number].node = to;
        // A frozen edge notices later, with the caller's next connection, or not at all.
        if self.environment.is_running(from) {
            let edge = &mut self.nodes[from].edge;
            edge.hang_up(&mut self.environment, number);
        }
    }

    fn call(&mut self, number: usize, wish: Wish) {
        if self.callers[number].is_busy() {
            return;
        }
        let alive = |node: &Place| self.environment.alive[*node];
        let first = self.callers[number].node;
        let ranked = (0..NODES).map(|rank| (first + rank) % NODES);
        let Some(node) = ranked.clone().find(alive) else {
            return;
        };
        if node != first {
            self.roam(number, node);
        }
        let call: Call = self.callers[number].begin(&mut self.environment, wish);
        // A frozen node reads the call when it runs again; the caller may be gone by then.
        if self.environment.is_running(node) {
            self.nodes[node].call(&mut self.environment, call);
        }
    }

    pub fn step(&mut self, step: &Step) {
        self.apply(&step.action);
        self.run_for(step.then_micros);
    }
}
