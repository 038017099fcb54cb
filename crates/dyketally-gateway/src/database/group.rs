//! What this node observed of a group of databases: positions that its primary showed, how far its
//! replicas are behind, and whether it has a primary that can be used.

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

/// Observations are kept for at least this long, also where no route bounds the age of reads: the lag of
/// replicas is estimated by them. Not measured.
const OBSERVED_AT_LEAST: Duration = Duration::from_secs(1);

/// What is known of a group beyond its databases.
pub struct GroupState {
    /// Positions that its primary showed.
    pub observations: RefCell<Observations>,
    /// Notified after each observation and each failed attempt to make one.
    pub observed: Notify,
    /// Whether it has a primary that this node can use.
    pub availability: PrimaryAvailability,
}

impl Databases {
    /// The group's state.
    pub fn group(&self, name: &GroupName) -> Rc<GroupState> {
        if let Some(group) = self.groups.borrow().get(name) {
            return group.clone();
        }
        let group = Rc::new(GroupState {
            observations: RefCell::new(Observations::new(self.observed_for(name))),
            observed: Notify::new(),
            availability: PrimaryAvailability::default(),
        });
        self.groups.borrow_mut().insert(name.clone(), group.clone());
        group
    }

    /// Keeps observations of all groups for as long as the routes in force need them.
    pub fn keep_observations(&self) {
        for (name, group) in self.groups.borrow().iter() {
            let mut observations = group.observations.borrow_mut();
            observations.keep_for(self.observed_for(name));
        }
    }

    fn observed_for(&self, name: &GroupName) -> Duration {
        let bound = self.cx.routes().longest_bound(name);
        bound.max(OBSERVED_AT_LEAST)
    }

    /// Records what a leading database showed in reply to a statement sent at `sent`. That it led must
    /// be sure.
    pub fn observe(&self, group: &GroupName, position: Option<LogPosition>, sent: Timestamp) {
        let Some(position) = position else {
            return;
        };
        let group = self.group(group);
        group.availability.answered();
        let observation = Observation { position, sent };
        group
            .observations
            .borrow_mut()
            .record(self.cx.now(), observation);
        group.observed.notify_waiters();
    }

    /// For how long the primary of `group` has been known to hold `position`; zero for a position
    /// that has yet to be asked for.
    pub fn age_of(&self, group: &GroupName, position: Option<LogPosition>) -> Duration {
        let state = self.group(group);
        let observations = state.observations.borrow();
        position.map_or(Duration::ZERO, |position| {
            observations.age_of(position, self.cx.now())
        })
    }

    /// Records that a replica of `group` held, or lacked, `position`.
    pub fn replica_showed(&self, group: &GroupName, position: LogPosition, held: bool) {
        let age = self.age_of(group, Some(position));
        let mut lag = self.replica_lag.get();
        lag.record(self.cx.now(), age, held);
        self.replica_lag.set(lag);
    }
}
