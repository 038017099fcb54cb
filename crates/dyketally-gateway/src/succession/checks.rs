//! Checks whether a database still leads its group.
//!
//! A node in contact with the store or with most nodes receives the fence around a primary before its
//! successor is appointed. An isolated node may miss it: after each answer of a leader it asks the group's
//! other databases, and accepts the answer as a leader's only if none of them leads.
//!
//! [`LeadershipChecks`] owns the last check of each group; it relies on this node's contact and fences.

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

/// Time limit for a database's reply whether it leads.
const ROLE_LIMIT: Duration = Duration::from_millis(300);
/// How long an isolated node treats no database of a group as leader after a check that couldn't rule out
/// another leader.
const UNCONFIRMED_VALIDITY: Duration = Duration::from_millis(700);

/// Result of asking the other databases of a group whether they lead.
#[derive(Clone, Copy, Debug)]
struct LeadershipCheck {
    /// When the databases were asked.
    asked: Timestamp,
    /// True when all databases replied and none of them leads.
    no_other_leads: bool,
}

/// The checks of one group.
#[derive(Debug, Default)]
struct GroupChecks {
    last: Cell<Option<LeadershipCheck>>,
    running: Cell<bool>,
    done: Notify,
}

/// Checks whether databases still lead their groups.
pub struct LeadershipChecks {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    statements: Rc<OwnStatements>,
    groups: RefCell<HashMap<GroupName, Rc<GroupChecks>>>,
}

impl LeadershipChecks {
    /// Creates the part; databases are asked through `statements`.
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

    /// True when `target` must not be treated as leader, whatever it answers: it is fenced, another database that isn't
    /// fenced is known to lead, or several databases claim to lead and none is confirmed yet.
    fn is_replaced(&self, target: &Target) -> bool {
        if self.databases.is_fenced(&target.name) {
            return true;
        }
        let directory = self.databases.directory.borrow();
        match directory.primary(&target.group) {
            Some(primary) => {
                primary.name() != &target.name && !self.databases.is_fenced(primary.name())
            }
            None => directory.is_contested(&target.group),
        }
    }

    /// True when an answer of `target` counts as a leader's without asking the group's other databases.
    pub fn is_certain_leader(&self, target: &Target) -> bool {
        !self.is_replaced(target) && self.cx.is_in_contact()
    }

    /// True when the answer of `target` to a request sent at `sent` is a leader's: no other database had
    /// taken the lead before the answer arrived.
    pub async fn still_leads_since(self: &Rc<Self>, target: &Target, sent: Timestamp) -> bool {
        if self.is_replaced(target) || self.databases.regained_lead_since(sent, &target.name) {
            return false;
        }
        self.no_other_leads(target).await
    }

    /// True when no other database of the group can have taken the lead by now: either this node is in contact
    /// and would have received a fence around `target`, or all other databases answer that they don't lead.
    /// The caller has to check whether such a fence is set.
    pub(super) async fn no_other_leads(self: &Rc<Self>, target: &Target) -> bool {
        if self.cx.is_in_contact() {
            return true;
        }
        if self.cx.is_in_contact_soon().await {
            // The grant may have brought a fence.
            return !self.is_replaced(target);
        }
        self.others_deny_lead(target).await
    }

    /// True while this node is isolated and its last check, made within [`UNCONFIRMED_VALIDITY`], couldn't rule out
    /// that another database of `group` leads.
    pub fn primary_is_unconfirmed(&self, group: &GroupName) -> bool {
        if self.cx.is_in_contact() {
            return false;
        }
        let last = self.group(group).last.get();
        last.is_some_and(|last| {
            !last.no_other_leads
                && self.cx.now().saturating_since(last.asked) < UNCONFIRMED_VALIDITY
        })
    }

    /// Asks the group's other databases whether they lead. Callers that wait at the same time share one check.
    async fn others_deny_lead(self: &Rc<Self>, target: &Target) -> bool {
        let needed = self.cx.now();
        let checks = self.group(&target.group);
        let until = Instant::now() + ROLE_LIMIT * 2;
        loop {
            let done = checks.done.notified();
            if let Some(last) = checks.last.get()
                && last.asked >= needed
            {
                return last.no_other_leads;
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
            let no_other_leads = checks.others_follow(&target).await;
            let check = LeadershipCheck {
                asked,
                no_other_leads,
            };
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
