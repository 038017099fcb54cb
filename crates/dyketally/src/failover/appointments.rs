//! Decides which fencing token may be used to appoint a database as the primary of its group.
//!
//! An appointment call that got no answer may take effect late, after newer calls. The service that
//! appoints primaries refuses a token smaller than the greatest one it has seen for the group. One token
//! must therefore never appoint two databases of a group: a delayed call could otherwise replace the
//! database that was appointed later.

use std::collections::{HashMap, HashSet};

use crate::identifiers::{DatabaseName, GroupName};

/// Whether the current token may be used for an appointment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenUse {
    /// The token may be used.
    Use,
    /// A greater token has to be obtained first.
    Renew,
}

/// The last appointment in each group, as made by this node.
#[derive(Clone, Debug, Default)]
pub struct Appointments {
    /// Token and appointed database of the last appointment.
    last: HashMap<GroupName, (u64, DatabaseName)>,
    /// The greatest token that the service has refused.
    refused: Option<u64>,
    /// The groups with an appointment that may have taken effect, or still may, without any database having been seen to
    /// lead since.
    unsettled: HashSet<GroupName>,
}

impl Appointments {
    /// Whether `token` may be used to appoint `database` in `group`.
    pub fn token_use(&self, group: &GroupName, database: &DatabaseName, token: u64) -> TokenUse {
        if self.refused.is_some_and(|refused| token <= refused) {
            return TokenUse::Renew;
        }
        let usable = match self.last.get(group) {
            None => true,
            Some((former, _)) if *former < token => true,
            Some((former, appointed)) => *former == token && appointed == database,
        };
        match usable {
            true => TokenUse::Use,
            false => TokenUse::Renew,
        }
    }

    /// The database that was last appointed in `group`.
    pub fn last_appointed(&self, group: &GroupName) -> Option<&DatabaseName> {
        self.last.get(group).map(|(_, appointed)| appointed)
    }

    /// Records that the service refused `token`: another coordinator may hold a greater one.
    pub fn record_refusal(&mut self, token: u64) {
        self.refused = self.refused.max(Some(token));
    }

    /// Records that the last appointment in `group` may have taken effect, or still may.
    pub fn record_unsettled(&mut self, group: &GroupName) {
        self.unsettled.insert(group.clone());
    }

    /// Records that a database leads `group` since the last appointment there.
    pub fn record_settled(&mut self, group: &GroupName) {
        self.unsettled.remove(group);
    }

    /// True while a database that this node appointed in `group` may lead without having been seen to.
    pub fn is_unsettled(&self, group: &GroupName) -> bool {
        self.unsettled.contains(group)
    }

    /// Records that an appointment of `database` with `token` is about to be sent.
    pub fn record_appointment(&mut self, group: &GroupName, database: &DatabaseName, token: u64) {
        self.last.insert(group.clone(), (token, database.clone()));
    }
}
