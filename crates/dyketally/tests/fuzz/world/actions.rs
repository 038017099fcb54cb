//! Applies the actions of a case to the simulated system.

use super::*;

impl World {
    pub(super) fn apply(&mut self, action: &Action) {
        match *action {
            Action::Write(caller, repeat) => {
                let entries = Caller::new_entries(&mut self.environment, 1);
                self.call(caller, CallKind::Write { entries, repeat });
            }
            Action::Transaction(caller, statements) => {
                let entries = Caller::new_entries(&mut self.environment, statements);
                self.call(caller, CallKind::Transaction { entries });
            }
            Action::ResendNotRun(caller) => self.resend_not_run(caller),
            Action::Lookup(caller, target) => self.look_up(caller, target),
            Action::Roam(movement) => self.move_caller(movement),
            Action::RoamAndLookUp(movement) => {
                self.move_caller(movement);
                self.look_up(movement.caller, LookupTarget::OwnNewest);
            }
            Action::Kill(place) => self.kill(place),
            Action::Freeze(place, millis) => {
                self.environment.freeze(place);
                self.environment
                    .after(millis * 1_000, ScheduledEvent::Thaw { place });
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
            Action::DelayDelivery(member, target, millis) => {
                let place = database_place(member);
                self.environment
                    .delay_delivery(place, target, millis * 1_000);
            }
            Action::Elect(member) => self.elect(member),
            Action::OverrideHome { edge, member, home } => {
                self.nodes[edge].edge.home_override[member] = Some(home);
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

    fn resend_not_run(&mut self, caller: usize) {
        if self.callers[caller].is_busy() {
            return;
        }
        if let Some(kind) = self.callers[caller].take_not_run_write() {
            self.call(caller, kind);
        }
    }

    fn move_caller(&mut self, movement: Move) {
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
        let keys = &self.callers[of].acknowledged_keys;
        if keys.is_empty() {
            return;
        }
        let index = match target {
            LookupTarget::OwnNewest => keys.len() - 1,
            _ => self.environment.random.random_range(0..keys.len()),
        };
        let key = keys[index].clone();
        self.call(caller, CallKind::Lookup { key });
    }

    fn stop_node(&mut self, node: usize) {
        if !self.environment.is_running(node) {
            return;
        }
        if self.environment.has(Switch::StopWithoutDrain) {
            let cut_off = self.nodes[node].in_flight().len();
            return self.exit(node, cut_off);
        }
        self.nodes[node].stop(&self.environment);
    }

    fn leave_database(&mut self, member: usize) {
        // Only one member leaves in a case, so that the other two are still a majority.
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
                .after(lag, ScheduledEvent::LeavingNotice { place, member });
        }
    }
}
