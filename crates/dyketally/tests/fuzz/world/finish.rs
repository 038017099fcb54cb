//! The end of a case: ends all faults, lets callers look up their writes, and records the final state.

use super::*;

impl World {
    /// Ends all faults, lets every caller look up its acknowledged writes, and returns the violations that the checker
    /// finds in the history.
    pub fn finish(mut self) -> Vec<Violation> {
        self.heal();
        self.look_up_everything();
        self.record_final_entries();
        self.record_final_configurations();
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
            node.edge.home_override = [None; MEMBERS];
        }
        self.run_for(HEALING_TIME);
        // Waits until planned stops in progress are complete and all killed processes have restarted.
        while !self.all_processes_running() {
            self.run_for(SETTLING_TIME / 10);
        }
        self.run_for(SETTLING_TIME);
    }

    fn all_processes_running(&self) -> bool {
        let stays = |node: &Node| !node.is_leaving();
        self.environment.alive.iter().all(|alive| *alive) && self.nodes.iter().all(stays)
    }

    /// Looks up each caller's acknowledged writes at the next node with its token, then at the node after that without.
    fn look_up_everything(&mut self) {
        for number in 0..CALLERS {
            for keep_token in [true, false] {
                self.roam(number, (self.callers[number].node + 1) % NODES);
                for key in self.callers[number].acknowledged_keys.clone() {
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
            self.call(number, CallKind::Lookup { key: key.clone() });
            while self.callers[number].is_busy() {
                self.run_for(1_000);
            }
            if self.callers[number].failed_lookups == failed {
                return;
            }
        }
        panic!("5 lookups of {key} by caller {number} failed after the end of all faults");
    }

    fn record_final_configurations(&mut self) {
        for node in &self.nodes {
            let event = Event::FinalConfiguration {
                node: node.follower.incarnation_name(&self.environment),
                revision: node.follower.revision(),
            };
            self.environment.record(event);
        }
    }

    fn record_final_entries(&mut self) {
        let primaries = self.databases.iter();
        let primaries = primaries.filter(|database| database.role == Role::Primary);
        let primary = primaries.max_by_key(|database| database.term);
        let primary = primary.expect("the group has a primary after the end of all faults");
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
