//! Checks whether a database still leads its group.
//!
//! A node in contact with the store or most nodes receives the fence before a successor is
//! appointed. An isolated node asks the group's other databases after each answer of a leader, and counts
//! it as one only if none of them leads. [`LeadershipChecks`] owns the last check of each group; it relies on
//! this node's contact and fences.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::GroupName;
use dyketally::time::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::own_statements::OwnStatements;
use crate::context::Context;
use crate::database::Databases;
use crate::database::target::Target;
use crate::ports::OwnStatement;

/// How long a database may take to reply whether it leads. Not measured.
const ROLE_LIMIT: Duration = Duration::from_millis(300);
/// How long an isolated node counts no database of a group as its leader once the others couldn't be
/// asked. Not measured.
const UNCONFIRMED_HOLDS: Duration = Duration::from_millis(700);

/// What an isolated node found when it asked the other databases of a group.
#[derive(Clone, Copy, Debug)]
struct LeadershipCheck {
    /// When they were asked.
    asked: Timestamp,
    /// True when all replied and none leads.
    unrivalled: bool,
}

/// The checks of one group.
#[derive(Debug, Default)]
struct GroupChecks {
    last: Cell<Option<LeadershipCheck>>,
    running: Cell<bool>,
    done: Notify,
}

/// Checks whether databases still lead.
pub struct LeadershipChecks {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    statements: Rc<OwnStatements>,
    groups: RefCell<HashMap<GroupName, Rc<GroupChecks>>>,
}

impl LeadershipChecks {
    /// Checks that ask databases by `statements`.
    pub fn new(
        cx: Rc<Context>,
        databases: Rc<Databases>,
        statements: Rc<OwnStatements>,
    ) -> Rc<Self> {
        Rc::new(Self {
            cx,
            databases,
            statements,
            groups: RefCell::default(),
        })
    }

    fn group(&self, name: &GroupName) -> Rc<GroupChecks> {
        let mut groups = self.groups.borrow_mut();
        groups.entry(name.clone()).or_default().clone()
    }

    /// True when `target` must not be taken for a leader, whatever it says: it is being replaced, or
    /// another database is known to lead.
    fn is_replaced(&self, target: &Target) -> bool {
        if self.databases.is_fenced(&target.name) {
            return true;
        }
        let directory = self.databases.directory.borrow();
        let primary = directory.primary(&target.group);
        primary.is_some_and(|primary| {
            primary.name() != &target.name && !self.databases.is_fenced(primary.name())
        })
    }

    /// True when it is clear without asking that an answer of `target` is a leader's.
    pub fn surely_leads(&self, target: &Target) -> bool {
        !self.is_replaced(target) && self.cx.is_in_touch()
    }

    /// True when an answer of `target` to what was sent at `sent` is a leader's: no other database had taken
    /// the lead before it arrived.
    pub async fn is_upheld(self: &Rc<Self>, target: &Target, sent: Timestamp) -> bool {
        if self.is_replaced(target) || self.databases.led_anew_since(sent, &target.name) {
            return false;
        }
        self.is_unrivalled(target).await
    }

    /// True when no other database of the group can have taken the lead by now: this node would have
    /// received a fence around `target`, or all others deny it. Whether one stands isn't looked at.
    pub(super) async fn is_unrivalled(self: &Rc<Self>, target: &Target) -> bool {
        self.cx.is_in_touch() || self.others_deny_leading(target).await
    }

    /// True while this node is isolated and couldn't make sure lately that no other database leads.
    pub fn primary_is_unconfirmed(&self, group: &GroupName) -> bool {
        if self.cx.is_in_touch() {
            return false;
        }
        let last = self.group(group).last.get();
        last.is_some_and(|last| {
            !last.unrivalled && self.cx.now().saturating_since(last.asked) < UNCONFIRMED_HOLDS
        })
    }

    /// Asks the group's other databases whether they lead; one round for all that wait.
    async fn others_deny_leading(self: &Rc<Self>, target: &Target) -> bool {
        let needed = self.cx.now();
        let checks = self.group(&target.group);
        let until = Instant::now() + ROLE_LIMIT * 2;
        loop {
            let done = checks.done.notified();
            if let Some(last) = checks.last.get()
                && last.asked >= needed
            {
                return last.unrivalled;
            }
            self.start(&checks, target);
            if tokio::time::timeout_at(until, done).await.is_err() {
                return false;
            }
        }
    }

    fn start(self: &Rc<Self>, group: &Rc<GroupChecks>, target: &Target) {
        if group.running.replace(true) {
            return;
        }
        let checks = self.clone();
        let group = group.clone();
        let target = target.clone();
        tokio::task::spawn_local(async move {
            let asked = checks.cx.now();
            let unrivalled = checks.others_follow(&target).await;
            let check = LeadershipCheck { asked, unrivalled };
            group.last.set(Some(check));
            group.running.set(false);
            group.done.notify_waiters();
        });
    }

    async fn others_follow(&self, target: &Target) -> bool {
        let others = self.other_members(target);
        let asked = others.iter().map(|other| {
            let statements = &self.statements;
            statements.ask_status(other, OwnStatement::Status, ROLE_LIMIT)
        });
        let replies = futures::future::join_all(asked).await;
        let mut replies = replies.into_iter();
        replies.all(|status| status.is_some_and(|status| !status.leads))
    }

    fn other_members(&self, target: &Target) -> Vec<Target> {
        let directory = self.databases.directory.borrow();
        let members = directory.members(&target.group);
        let others = members.filter(|member| member.name() != &target.name);
        others
            .map(|member| self.databases.target(member, false))
            .collect()
    }
}
