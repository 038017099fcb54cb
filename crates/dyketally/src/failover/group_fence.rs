//! Fences around a whole group.
//!
//! A fence around a database can't hold for one that the coordinator doesn't know: a primary whose announcement lapsed
//! before the coordinator started, or a database that an earlier coordinator appointed. A fence around the group holds
//! for each of its databases, known or not, until the coordinator reports that the database leads.

use crate::identifiers::{DatabaseName, GroupName};

/// Begins the name of a fence around a group. Databases have no such names.
const PREFIX: &str = "group:";

/// The name under which nodes exchange the fence around `group`, in place of the name of a database. Nodes of builds
/// without such fences confirm it like one around a database that they don't know.
pub fn group_fence(group: &GroupName) -> DatabaseName {
    DatabaseName::new(format!("{PREFIX}{group}"))
}
