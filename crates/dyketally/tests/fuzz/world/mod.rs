//! The simulated system: processes events when they are due and applies the actions of a case. Plain integers that
//! hold times are in microseconds.

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
use crate::edge::{Call, CallKind};
use crate::environment::{
    Arrived, Environment, MEMBERS, NODES, OPERATORS, PLACES, Place, Process, SERVICE,
    ScheduledEvent, database_place, operator_place,
};
use crate::messages::ClientMessage;
use crate::node::{self, Node, NodeRequest};
use crate::switches::Switch;

/// Time from the end of a process to its restart.
const RESTART_DELAY: u64 = 60_000;
/// An event for a frozen process is postponed by this time, repeatedly until the process runs again.
const FROZEN_RETRY_DELAY: u64 = 1_000;
const CALLERS_TICK: u64 = 10_000;
/// Upper bound of the time until a node receives the notice that a database is leaving.
const LONGEST_NOTICE_LAG: u64 = 300_000;
/// Time after the start of a database's leaving during which it may still run statements.
const LEAVING_GRACE: Duration = Duration::from_millis(1_500);
/// Time that the system runs after all faults have ended, before the case waits for complete restarts.
const HEALING_TIME: u64 = 1_000_000;
/// Time that the system runs once all processes are running, before the final lookups.
const SETTLING_TIME: u64 = 300_000;

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
                ScheduledEvent::Tick {
                    place,
                    incarnation: 0,
                },
            );
        }
        environment.after(CALLERS_TICK, ScheduledEvent::ClientsTick);
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
        while let Some(event) = self.environment.next(until) {
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        if let Some(place) = event.receiver()
            && self.environment.is_frozen(place)
        {
            return self.environment.after(FROZEN_RETRY_DELAY, event);
        }
        match event {
            ScheduledEvent::Arrival { connection, to } => {
                if let Some(arrived) = self.environment.arrive(connection, to) {
                    self.arrived(arrived);
                }
            }
            ScheduledEvent::Tick { place, incarnation } => self.tick(place, incarnation),
            ScheduledEvent::Replicate { from, to, message } => {
                if self.environment.alive[to] && self.environment.reaches(from, to) {
                    let now = self.environment.world_time();
                    self.databases[to - NODES].follow(*message, now);
                }
            }
            ScheduledEvent::Datagram { from, to, message } => {
                if self.environment.alive[to] && self.environment.reaches(from, to) {
                    let follower = &mut self.nodes[to].follower;
                    follower.handle_datagram(&mut self.environment, from, *message);
                }
            }
            ScheduledEvent::ToClient(message) => self.deliver_answer(message),
            ScheduledEvent::Restart { place } => self.restart(place),
            ScheduledEvent::Thaw { place } => self.environment.thaw(place),
            ScheduledEvent::LeavingNotice { place, member } => {
                if self.environment.alive[place] {
                    let home = &mut self.nodes[place].home;
                    home.database_leaves(&mut self.environment, member);
                }
            }
            ScheduledEvent::ClientsTick => self.tick_callers(),
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
        let next_tick = ScheduledEvent::Tick { place, incarnation };
        self.environment.after(interval, next_tick);
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

    /// Holds an election in one step. A vote counts only if the links in both directions work and the voter is running.
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
                let mut all_informed = true;
                for other in others {
                    let informed = self.environment.reaches(place, other)
                        && self.environment.is_running(other);
                    self.nodes[other].edge.leaving[place] |= informed;
                    all_informed &= informed;
                }
                if all_informed {
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
            .after(RESTART_DELAY, ScheduledEvent::Restart { place });
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
            .after(500, ScheduledEvent::Tick { place, incarnation });
    }

    fn deliver_answer(&mut self, message: ClientMessage) {
        let number = message.client;
        let elsewhere = self.callers[number].handle_answer(&mut self.environment, message);
        if elsewhere {
            let node = self.callers[number].node;
            self.roam(number, (node + 1) % NODES);
        }
    }

    fn tick_callers(&mut self) {
        self.environment
            .after(CALLERS_TICK, ScheduledEvent::ClientsTick);
        let now = self.environment.world_time();
        for number in 0..CALLERS {
            if self.callers[number].is_overdue(now) {
                let node = self.callers[number].node;
                self.roam(number, (node + 1) % NODES);
            }
        }
    }

    fn roam(&mut self, number: usize, to: Place) {
        let from = self.callers[number].node;
        self.callers[number].hang_up(&mut self.environment);
        self.callers[number].node = to;
        // A frozen edge detects the closed connection only at the caller's next connection, if ever.
        if self.environment.is_running(from) {
            let edge = &mut self.nodes[from].edge;
            edge.hang_up(&mut self.environment, number);
        }
    }

    fn call(&mut self, number: usize, kind: CallKind) {
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
        let call: Call = self.callers[number].begin(&mut self.environment, kind);
        // A call to a frozen node is lost; the caller closes the connection when the request times out.
        if self.environment.is_running(node) {
            self.nodes[node].call(&mut self.environment, call);
        }
    }

    pub fn step(&mut self, step: &Step) {
        self.apply(&step.action);
        self.run_for(step.then_micros);
    }
}
