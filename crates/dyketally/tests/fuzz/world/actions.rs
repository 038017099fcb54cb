//! Actions of a case.

use super::*;

impl World {
    pub(super) fn apply(&mut self, action: &Action) {
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
                self.isolate(database_place(member), NODES..SERVICE);
            }
            Action::CutZone(zone) => {
                let others = |place: &Place| *place >= SERVICE || place % NODES != zone;
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
            Action::HoldBack(member, held, millis) => {
                let place = database_place(member);
                self.environment.hold_back(place, held, millis * 1_000);
            }
            Action::Elect(member) => self.elect(member),
            Action::Believe { edge, member, home } => {
                self.nodes[edge].edge.believed_home[member] = Some(home);
            }
            Action::StopNode(node) => self.stop_node(node),
            Action::LeaveDatabase(member) => self.leave_database(member),
            Action::Publish(operator) => {
                if self.environment.is_running(operator_place(operator)) {
                    self.operators[operator].publish(&mut self.environment);
                }
            }
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
}
