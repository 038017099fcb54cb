//! What this node observed of each group of databases: the log positions of its primary, and whether it has a
//! usable primary. From the positions, a single estimate of the replication lag is kept for all groups.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use dyketally::freshness::{Observation, Observations};
use dyketally::group::LogPosition;
use dyketally::identifiers::GroupName;
use dyketally::time::Timestamp;
use tokio::sync::Notify;

use super::Databases;
use super::availability::PrimaryAvailability;

/// Minimum time for which observations are kept. It applies also where no route bounds the age of reads,
/// since the replication lag is estimated from observations.
const MIN_OBSERVATION_RETENTION: Duration = Duration::from_secs(1);

/// What this node observed of one group.
pub struct GroupState {
    /// Log positions of the group's primary, with the times at which they were observed.
    pub observations: RefCell<Observations>,
    /// Notified after each observation and after each failed attempt to make one.
    pub observed: Notify,
    /// Whether this node can use the group's primary, and since when it could not.
    pub availability: PrimaryAvailability,
}

impl Databases {
    /// The state of a group, created if it is missing.
    pub fn group(&self, name: &GroupName) -> Rc<GroupState> {
        if let Some(group) = self.groups.borrow().get(name) {
            return group.clone();
        }
        let group = Rc::new(GroupState {
            observations: RefCell::new(Observations::new(self.observation_retention(name))),
            observed: Notify::new(),
            availability: PrimaryAvailability::default(),
        });
        self.groups.borrow_mut().insert(name.clone(), group.clone());
        group
    }

    /// Sets how long observations of each group are kept, from the routes in force.
    pub fn update_observation_retention(&self) {
        for (name, group) in self.groups.borrow().iter() {
            let mut observations = group.observations.borrow_mut();
            observations.keep_for(self.observation_retention(name));
        }
    }

    fn observation_retention(&self, name: &GroupName) -> Duration {
        let bound = self.cx.routes().longest_bound(name);
        bound.max(MIN_OBSERVATION_RETENTION)
    }

    /// Records the log position with which the primary of `group` answered a statement sent at `sent`. Call it
    /// only when that database certainly led the group.
    pub fn record_primary_position(
        &self,
        group: &GroupName,
        position: Option<LogPosition>,
        sent: Timestamp,
    ) {
        let Some(position) = position else {
            return;
        };
        let group = self.group(group);
        group.availability.record_answer();
        let observation = Observation { position, sent };
        group
            .observations
            .borrow_mut()
            .record(self.cx.now(), observation);
        group.observed.notify_waiters();
    }

    /// How long the primary of `group` has been known to hold `position`; zero if the position is not yet known,
    /// or if no kept observation shows it.
    pub fn position_age(&self, group: &GroupName, position: Option<LogPosition>) -> Duration {
        let state = self.group(group);
        let observations = state.observations.borrow();
        position.map_or(Duration::ZERO, |position| {
            observations.age_of(position, self.cx.now())
        })
    }

    /// Updates the estimate of the replication lag, which is shared by all groups: a replica of `group` held
    /// `position` (`held`) or lacked it.
    pub fn record_replica_lag(&self, group: &GroupName, position: LogPosition, held: bool) {
        let age = self.position_age(group, Some(position));
        let mut lag = self.replica_lag.get();
        lag.record(self.cx.now(), age, held);
        self.replica_lag.set(lag);
    }
}
