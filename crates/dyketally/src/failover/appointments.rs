//! Which fencing token an appointment may carry.
//!
//! An appointment without an answer may be carried out late, behind newer ones. The appointing
//! service refuses tokens smaller than one it has seen for the group. So one token must never
//! appoint two databases of a group: the late call could otherwise unseat the later choice.

use std::collections::HashMap;

use crate::identifiers::{DatabaseName, GroupName};

/// What to do about the token before an appointment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenUse {
    /// The token may be used.
    Use,
    /// A greater token is needed first.
    Renew,
}

/// The last appointment in each group.
#[derive(Clone, Debug, Default)]
pub struct Appointments {
    last: HashMap<GroupName, (u64, DatabaseName)>,
    /// The greatest token that was refused.
    refused: Option<u64>,
}

impl Appointments {
    /// Whether `token` may appoint `database`.
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

    /// The database of `group` that was appointed last.
    pub fn last(&self, group: &GroupName) -> Option<&DatabaseName> {
        self.last.get(group).map(|(_, appointed)| appointed)
    }

    /// Records that the service refused `token`: somebody may hold a greater one.
    pub fn refused(&mut self, token: u64) {
        self.refused = self.refused.max(Some(token));
    }

    /// Records that `database` is being appointed with `token`.
    pub fn appointing(&mut self, group: &GroupName, database: &DatabaseName, token: u64) {
        self.last.insert(group.clone(), (token, database.clone()));
    }
}
