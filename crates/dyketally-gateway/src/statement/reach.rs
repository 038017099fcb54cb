//! Whether a group has had no usable primary for so long that statements shouldn't wait for one.

use std::rc::Rc;

use dyketally::eligibility::ServingRegions;
use dyketally::identifiers::GroupName;

use crate::database::availability::SHORT_WAIT;
pub use crate::database::availability::Unled;
use crate::gateway::Gateway;
use crate::statement::write::RETRY_PAUSE;

impl Gateway {
    /// Takes in that an attempt at `group` failed. True when the group has had no primary that this
    /// node can use for so long that statements which need one should be refused.
    pub fn is_unled(self: &Rc<Self>, group: &GroupName) -> bool {
        let primary = self.primary_target(group, &ServingRegions::anywhere());
        if primary.is_ok_and(|primary| !primary.state.is_suspended()) {
            return false;
        }
        let state = self.databases.group(group);
        state.unled.missed();
        state.unled.is_out_of_reach()
    }
}

const _: () = assert!(RETRY_PAUSE.as_millis() * 2 <= SHORT_WAIT.as_millis());
