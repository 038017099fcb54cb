//! The end of a case: healing, last lookups, the final state.

use super::*;

impl World {
    /// Ends all faults, lets every caller look up what it wrote, and judges the history.
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
            node.edge.believed_home = [None; MEMBERS];
        }
        self.run_for(HEALING);
        // A planned stop that has begun ends, and the node's successor catches up.
        while !self.is_whole() {
            self.run_for(SETTLING / 10);
        }
        self.run_for(SETTLING);
    }

    fn is_whole(&self) -> bool {
        let stays = |node: &Node| !node.is_leaving();
        self.environment.alive.iter().all(|alive| *alive) && self.nodes.iter().all(stays)
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
