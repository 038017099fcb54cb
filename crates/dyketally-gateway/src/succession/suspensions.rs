//! What the failover coordinator knows of replicas that may be suspended. Relies on nothing.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use dyketally::identifiers::GroupName;
use tokio::time::Instant;

/// Pause between two attempts to resume the replicas of a group, where a replica didn't answer.
const ATTEMPT_PAUSE: Duration = Duration::from_secs(2);

/// What this coordinator knows of suspended replicas.
#[derive(Debug, Default)]
pub(super) struct Suspensions {
    /// The groups whose replicas all answered that they aren't suspended, or were resumed.
    resumed: HashSet<GroupName>,
    /// The groups whose replicas this coordinator has suspended and not resumed yet.
    own: HashSet<GroupName>,
    /// When an attempt to resume replicas of a group last failed.
    failed: HashMap<GroupName, Instant>,
}

impl Suspensions {
    /// Forgets everything, as another node may have suspended replicas since this one last had the duty.
    pub(super) fn forget(&mut self) {
        self.resumed.clear();
        self.own.clear();
        self.failed.clear();
    }

    /// Records that this coordinator is about to suspend replicas of `group`.
    pub(super) fn record_suspension(&mut self, group: &GroupName) {
        self.resumed.remove(group);
        self.own.insert(group.clone());
    }

    /// Records the result of an attempt to resume the replicas of `group`.
    pub(super) fn record(&mut self, group: &GroupName, is_resumed: bool) {
        if is_resumed {
            self.failed.remove(group);
            self.own.remove(group);
            self.resumed.insert(group.clone());
        } else {
            self.failed.insert(group.clone(), Instant::now());
        }
    }

    /// True when this coordinator has suspended replicas of `group` and not resumed them yet.
    pub(super) fn has_suspended(&self, group: &GroupName) -> bool {
        self.own.contains(group)
    }

    /// True when replicas of `group` may be suspended, and no attempt to resume them has just failed.
    pub(super) fn is_attempt_due(&self, group: &GroupName) -> bool {
        let failed = self.failed.get(group);
        let has_just_failed = failed.is_some_and(|at| at.elapsed() < ATTEMPT_PAUSE);
        !self.resumed.contains(group) && !has_just_failed
    }
}
