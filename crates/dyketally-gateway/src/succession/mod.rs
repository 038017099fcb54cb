//! Who leads a group: confirming it, noticing that a primary is lost, and replacing it.

mod appointment;
pub mod confirm;
pub mod coordinator;
pub mod failover;
pub mod fence;
pub mod lead;
pub mod probe;
mod replacement;
pub mod short_contact;
mod survey;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use dyketally::identifiers::GroupName;
use dyketally::time::Timestamp;

use self::lead::Vettings;
use self::short_contact::Questions;

/// What this node found out about who leads which group.
#[derive(Default)]
pub struct Leadership {
    groups: RefCell<HashMap<GroupName, Rc<GroupLeadership>>>,
    /// Questions for the short contact that may yet be answered.
    questions: RefCell<Questions>,
}

/// What this node found out about the leader of one group.
#[derive(Default)]
pub struct GroupLeadership {
    /// True while the group is searched for a primary.
    searching: Cell<bool>,
    /// When the running confirmation was sent, if one runs.
    confirming: Cell<Option<Timestamp>>,
    /// What an isolated node learnt of the group's other databases.
    vettings: Vettings,
}

impl Leadership {
    /// The group's state.
    fn group(&self, name: &GroupName) -> Rc<GroupLeadership> {
        let mut groups = self.groups.borrow_mut();
        groups.entry(name.clone()).or_default().clone()
    }
}
