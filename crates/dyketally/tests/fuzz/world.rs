//! The simulated system: runs what is due and carries out actions.

use std::time::Duration;

use dyketally::group::Role;
use dyketally::history::{CheckSettings, Event, Violation, check};
use dyketally::identifiers::NodeName;
use rand::Rng;

use crate::actions::{Action, LookupTarget, Move, Step};
use crate::callers::{CALLERS, Caller};
use crate::database::{self, Database, member_name};
use crate::edge::{Call, Wish};
use crate::environment::{Environment, Happening, MEMBERS, NODES, PLACES, Place, database_place};
use crate::messages::ClientMessage;
use crate::node::{self, Node, NodeRequest};
use crate::switches::Switch;

const RESTART_DELAY: u64 = 60_000;
const CALLERS_TICK: u64 = 10_000;
const LONGEST_NOTICE_LAG: u64 = 300_000;
const LEAVING_GRACE: Duration = Duration::from_millis(1_500);
const HEALING: u64 = 1_500_000;

pub struct World {
    environment: Environment,
    nodes: Vec<Node>,
    databases: Vec<Database>,
    callers: Vec<Caller>,
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
        match happening {
            Happening::Arrival { connection, to } => {
                let Some(arrived) = self.environment.arrive(connection, to) else {
                    return;
                };
                if arrived.place < NODES {
                    self.nodes[arrived.place].arrived(&mut self.environment, arrived);
                } else {
                    let database = &mut self.databases[arrived.place - NODES];
                    database.handle(&mut self.environment, arrived.connection, arrived.payload);
                }
            }
            Happening::Tick { place, incarnation } => self.tick(place, incarnation),
            Happening::Replicate { from, to, message } => {
                if self.environment.is_frozen(to) {
                    let message = Happening::Replicate { from, to, message };
                    return self.environment.after(1_000, message);
                }
                if self.environment.alive[to] && self.environment.reaches(from, to) {
                    let now = self.environment.world_time();
                    self.databases[to - NODES].follow(*message, now);
                }
            }
            Happening::ToClient(message) => self.deliver_answer(message),
            Happening::Restart { place } => self.restart(place),
            Happening::Thaw { place } => self.environment.thaw(place),
            Happening::LeavingNotice { place, member } => {
                if self.environment.is_frozen(place) {
                    let notice = Happening::LeavingNotice { place, member };
                    return self.environment.after(1_000, notice);
                }
                if self.environment.alive[place] {
                    let home = &mut self.nodes[place].home;
                    home.database_leaves(&mut self.environment, member);
                }
            }
            Happening::ClientsTick => self.tick_callers(),
        }
    }

    fn tick(&mut self, place: Place, incarnation: u64) {
        if self.environment.incarnations[place] != incarnation || !self.environment.alive[place] {
            return;
        }
        let interval = if place < NODES {
            node::TICK
        } else {
            database::TICK
        };
        let again = Happening::Tick { place, incarnation };
        self.environment.after(interval, again);
        if self.environment.is_frozen(place) {
            return;
        }
        if place < NODES {
            for request in self.nodes[place].tick(&mut self.environment) {
                self.carry_out(place, request);
            }
        } else {
            self.tick_database(place - NODES);
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
        if place < NODES {
            self.nodes[place] = Node::new(place);
            for other in 0..NODES {
                self.nodes[other].edge.leaving[place] = false;
            }
        } else {
            let now = self.environment.world_time();
            self.databases[place - NODES].restarted(now);
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

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Write(caller, repeat) => {
                let entries = Caller::new_entries(&mut self.environment, 1);
                self.call(caller, Wish::Write { entries, repeat });
            }
            Action::Transaction(caller, statements) => {
                let entries = Caller::new_entries(&mut self.environment, statements);
                self.call(caller, Wish::Transaction { entries });
            }
            Action::Again(caller) => self.send_again(caller),
            Action::Lookup(caller, target) => self.look_up(caller, target),
            Action::Roam(movement) => self.carry(movement),
            Action::RoamAndLookUp(movement) => {
                self.carry(movement);
                self.look_up(movement.caller, LookupTarget::OwnNewest);
            }
            Action::Kill(place) => self.kill(place),
            Action::Freeze(place, millis) => {
                self.environment.freeze(place);
                self.environment
                    .after(millis * 1_000, Happening::Thaw { place });
            }
            Action::Cut(from, to) => self.environment.cut(from, to),
            Action::Isolate(place) => self.isolate(place, 0..PLACES),
            Action::IsolateFromGroup(member) => {
                self.isolate(database_place(member), NODES..PLACES);
            }
            Action::CutZone(zone) => {
                let others = |place: &Place| place % NODES != zone;
                for other in (0..PLACES).filter(others) {
                    self.isolate(other, zone..zone + 1);
                    let database = database_place(zone);
                    self.isolate(other, database..database + 1);
                }
            }
            Action::HealCuts => self.environment.heal_cuts(),
            Action::JumpClock(node, millis) => {
                let by = Duration::from_millis(millis);
                self.environment.jump_clock(node, by);
            }
            Action::Lag(member, millis) => self.databases[member].lag = millis * 1_000,
            Action::Elect(member) => self.elect(member),
            Action::Believe { edge, member, home } => {
                self.nodes[edge].edge.believed_home[member] = Some(home);
            }
            Action::StopNode(node) => self.stop_node(node),
            Action::LeaveDatabase(member) => self.leave_database(member),
            Action::Wait(millis) => self.run_for(millis * 1_000),
        }
    }

    fn isolate(&mut self, place: Place, others: std::ops::Range<Place>) {
        for other in others {
            self.environment.cut(place, other);
            self.environment.cut(other, place);
        }
    }

    fn send_again(&mut self, caller: usize) {
        if self.callers[caller].is_busy() {
            return;
        }
        if let Some(wish) = self.callers[caller].take_again() {
            self.call(caller, wish);
        }
    }

    fn carry(&mut self, movement: Move) {
        self.roam(movement.caller, movement.node);
        if !movement.keep_token {
            self.callers[movement.caller].forget_token();
        }
    }

    fn look_up(&mut self, caller: usize, target: LookupTarget) {
        let of = match target {
            LookupTarget::OwnNewest | LookupTarget::OwnAny => caller,
            LookupTarget::Other => (caller + 1) % CALLERS,
        };
        let own = &self.callers[of].own;
        if own.is_empty() {
            return;
        }
        let index = match target {
            LookupTarget::OwnNewest => own.len() - 1,
            _ => self.environment.random.random_range(0..own.len()),
        };
        let key = own[index].clone();
        self.call(caller, Wish::Lookup { key });
    }

    fn stop_node(&mut self, node: usize) {
        if !self.environment.is_running(node) {
            return;
        }
        if self.environment.has(Switch::StopWithoutDrain) {
            let cut_off = self.nodes[node].work().len();
            return self.exit(node, cut_off);
        }
        self.nodes[node].stop(&self.environment);
    }

    fn leave_database(&mut self, member: usize) {
        // The others must still make a majority.
        if self.databases.iter().any(|database| database.leaving) {
            return;
        }
        self.databases[member].leaving = true;
        let at = self.environment.world_time();
        let database = member_name(member);
        self.environment.record(Event::Leaving { database, at });
        for place in 0..NODES {
            let lag = self.environment.random.random_range(0..LONGEST_NOTICE_LAG);
            self.environment
                .after(lag, Happening::LeavingNotice { place, member });
        }
    }

    /// Ends all faults, lets every caller look up what it wrote, and judges the history.
    pub fn finish(mut self) -> Vec<Violation> {
        self.heal();
        self.look_up_everything();
        self.record_final_entries();
        let settings = CheckSettings {
            leaving_grace: LEAVING_GRACE,
        };
        check(&self.environment.history, settings)
    }

    fn heal(&mut self) {
        self.environment.heal_cuts();
        for place in 0..PLACES {
            self.environment.thaw(place);
        }
        for member in 0..MEMBERS {
            self.databases[member].lag = 0;
        }
        for node in &mut self.nodes {
            node.edge.believed_home = [None; MEMBERS];
        }
        self.run_for(HEALING);
    }

    /// Each caller with its token, then without.
    fn look_up_everything(&mut self) {
        for number in 0..CALLERS {
            for keep_token in [true, false] {
                self.roam(number, (self.callers[number].node + 1) % NODES);
                for key in self.callers[number].own.clone() {
                    if !keep_token {
                        self.callers[number].forget_token();
                    }
                    self.look_up_until_answered(number, key);
                }
            }
        }
    }

    fn look_up_until_answered(&mut self, number: usize, key: dyketally::history::Key) {
        for _ in 0..5 {
            let failed = self.callers[number].failed_lookups;
            self.call(number, Wish::Lookup { key: key.clone() });
            while self.callers[number].is_busy() {
                self.run_for(1_000);
            }
            if self.callers[number].failed_lookups == failed {
                return;
            }
        }
        panic!("{key} of caller {number} can't be looked up after all faults have healed");
    }

    fn record_final_entries(&mut self) {
        let primaries = self.databases.iter();
        let primaries = primaries.filter(|database| database.role == Role::Primary);
        let primary = primaries.max_by_key(|database| database.term);
        let primary = primary.expect("the group has a primary after all faults have healed");
        let entries = primary.log.iter().flat_map(|logged| logged.entries.clone());
        for entry in entries.collect::<Vec<_>>() {
            self.environment.record(Event::FinalEntry {
                key: entry.key,
                value: entry.value,
                times: 1,
            });
        }
    }
}
