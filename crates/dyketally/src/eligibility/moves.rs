//! Limits how often the primary of a group is moved to another region.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::GroupName;
use crate::time::Timestamp;

/// Least time between two moves of a group's primary. Each move interrupts the group's writes.
const MOVE_PAUSE: Duration = Duration::from_secs(10);
/// Time until a deferred move may be tried again; the deferral left the primary as it was. A replica that was
/// started recently takes about this long to catch up.
const DEFERRED_PAUSE: Duration = Duration::from_secs(1);

/// The time from which the primary of each group may be moved again.
#[derive(Clone, Debug, Default)]
pub struct PrimaryMoves {
    not_before: BTreeMap<GroupName, Timestamp>,
}

impl PrimaryMoves {
    /// True when the primary of `group` may be moved at `now`.
    pub fn may_move(&self, group: &GroupName, now: Timestamp) -> bool {
        let not_before = self.not_before.get(group);
        not_before.is_none_or(|not_before| now >= *not_before)
    }

    /// Records that a move of the primary of `group` begins, whether or not it succeeds.
    pub fn record_move(&mut self, group: &GroupName, now: Timestamp) {
        self.not_before.insert(group.clone(), now + MOVE_PAUSE);
    }

    /// Records that the move of the primary of `group` was deferred because no database could take over yet.
    pub fn defer(&mut self, group: &GroupName, now: Timestamp) {
        self.not_before.insert(group.clone(), now + DEFERRED_PAUSE);
    }
}
