//! A database that a statement may be sent to.

use std::rc::Rc;

use dyketally::identifiers::{DatabaseName, GroupName, ZoneName};

use crate::database::health::DatabaseState;

/// A database that a statement may be sent to.
#[derive(Clone)]
pub struct Target {
    /// Its name.
    pub name: DatabaseName,
    /// Its group.
    pub group: GroupName,
    /// Where it runs.
    pub zone: ZoneName,
    /// The database as this node uses it.
    pub state: Rc<DatabaseState>,
    /// True when it is believed to lead.
    pub leads: bool,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.name)
    }
}
