//! The platform's key-value service, reduced to what the configuration uses. It keeps its data when it is killed. Cuts,
//! freezes and kills are its outages.

use std::collections::BTreeMap;
use std::sync::Arc;

use dyketally::configuration::sync::{WatchId, WatchReport};
use dyketally::configuration::{Change, ConfigurationLog, Observation, Winner};
use dyketally::policy::Revision;

use super::ServiceMessage;
use crate::environment::{ConnectionId, Environment, Side};
use crate::messages::Payload;
use crate::switches::Switch;

/// A watch that is missing more changes than this receives a snapshot instead.
const MOST_CHANGES: usize = 3;

#[derive(Default)]
pub struct Service {
    changes: Vec<Arc<Change>>,
    watches: BTreeMap<ConnectionId, WatchId>,
}

impl Service {
    fn revision(&self) -> Revision {
        Revision(self.changes.len() as u64)
    }

    pub fn restarted(&mut self) {
        self.watches.clear();
    }

    pub fn handle(&mut self, environment: &mut Environment, id: ConnectionId, payload: Payload) {
        let message = match payload {
            Payload::Service(message) => *message,
            Payload::Closed => {
                self.watches.remove(&id);
                return;
            }
            other => panic!("the service doesn't handle {other:?}"),
        };
        let answer = match message {
            ServiceMessage::Current => ServiceMessage::CurrentIs(self.revision()),
            ServiceMessage::Commit(change) => self.commit(environment, change),
            ServiceMessage::ReadBack { seen } => ServiceMessage::Observed(self.observe(seen)),
            ServiceMessage::Watch { watch, have } => {
                return self.watch(environment, id, watch, have);
            }
            other => panic!("the service doesn't handle {other:?}"),
        };
        send(environment, id, answer);
    }

    fn commit(&mut self, environment: &mut Environment, change: Change) -> ServiceMessage {
        let seen = Revision(change.revision.0 - 1);
        if environment.has(Switch::CompareIgnored) && seen < self.revision() {
            self.changes[seen.0 as usize] = Arc::new(change);
            return ServiceMessage::Committed;
        }
        if seen != self.revision() {
            return ServiceMessage::NotCommitted(self.observe(seen));
        }
        let change = Arc::new(change);
        self.changes.push(Arc::clone(&change));
        for (id, watch) in self.watches.clone() {
            let report = WatchReport::Changes(vec![Arc::clone(&change)]);
            send(environment, id, ServiceMessage::Report { watch, report });
        }
        ServiceMessage::Committed
    }

    fn observe(&self, seen: Revision) -> Observation {
        let following = self.changes.get(seen.0 as usize);
        Observation {
            current: self.revision(),
            following: following.map(|change| Winner {
                change_id: change.change_id,
                author: change.author.clone(),
                revision: change.revision,
            }),
        }
    }

    fn watch(
        &mut self,
        environment: &mut Environment,
        id: ConnectionId,
        watch: WatchId,
        have: Revision,
    ) {
        self.watches.insert(id, watch);
        let missing = self.changes.get(have.0 as usize..).unwrap_or_default();
        let report = match missing.len() > MOST_CHANGES {
            true => WatchReport::Snapshot(self.snapshot()),
            false => WatchReport::Changes(missing.to_vec()),
        };
        let revision = self.revision();
        for report in [report, WatchReport::Established { revision }] {
            send(environment, id, ServiceMessage::Report { watch, report });
        }
    }

    fn snapshot(&self) -> dyketally::configuration::Snapshot {
        let mut log = ConfigurationLog::new(0);
        for change in &self.changes {
            log.apply(Arc::clone(change));
        }
        log.snapshot().clone()
    }
}

fn send(environment: &mut Environment, id: ConnectionId, message: ServiceMessage) {
    environment.send(id, Side::Server, Payload::Service(Box::new(message)));
}
