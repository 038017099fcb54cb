//! When primaries may be moved to other regions.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::GroupName;
use crate::time::Timestamp;

/// Pause between two moves of one group's primary: each interrupts its writes.
const MOVE_PAUSE: Duration = Duration::from_secs(10);
/// Pause behind a move that was put off with the primary as it was: a replica that was started lately
/// takes about so long to follow.
const PUT_OFF_PAUSE: Duration = Duration::from_secs(1);

/// When the primary of each group may be moved next.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    not_before: BTreeMap<GroupName, Timestamp>,
}

impl Moves {
    /// True when the primary of `group` may be moved.
    pub fn may_begin(&self, group: &GroupName, now: Timestamp) -> bool {
        let not_before = self.not_before.get(group);
        not_before.is_none_or(|not_before| now >= *not_before)
    }

    /// Records that the primary of `group` is being moved, whatever comes of it.
    pub fn begun(&mut self, group: &GroupName, now: Timestamp) {
        self.not_before.insert(group.clone(), now + MOVE_PAUSE);
    }

    /// Records that nothing was done about the primary of `group` yet, as no database could succeed.
    pub fn put_off(&mut self, group: &GroupName, now: Timestamp) {
        self.not_before.insert(group.clone(), now + PUT_OFF_PAUSE);
    }
}
