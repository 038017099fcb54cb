//! Confirms that a database leads, and searches for the one that does.
//!
//! [`Confirmations`] owns which groups are being confirmed or searched. A confirmation also shows a
//! position of the primary's log, by which the freshness of replicas is judged.
//! Relies on [`LeadershipChecks`] for what an isolated node may believe.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::{Denial, ServingRegions};
use dyketally::group::LogPosition;
use dyketally::identifiers::GroupName;
use dyketally::statement::{FailureKind, TransactionState};
use dyketally::time::Timestamp;
use tokio::time::Instant;

use super::checks::LeadershipChecks;
use super::own_statements::{OWN_PATIENCE, OwnStatements};
use crate::context::Context;
use crate::database::Databases;
use crate::database::batch::Batch;
use crate::database::claim::Work;
use crate::database::target::Target;
use crate::fleet::Fleet;
use crate::ports::OwnStatement;

/// Longest time that a confirmation may take. Not measured.
const CONFIRM_LIMIT: Duration = OWN_PATIENCE;
/// Pause between two searches for a primary. Not measured.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a statement that waits looks again whether a group has a primary. Not measured.
const SEARCH_INTERVAL: Duration = Duration::from_millis(120);

/// What an exchange to confirm that a database leads came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Confirmation {
    /// It leads.
    Leads,
    /// It answered that it doesn't.
    Follows,
    /// It isn't known.
    Unclear(Unclear),
}

/// Why it isn't known whether a database leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unclear {
    /// There was no connection to it in time.
    NoConnection,
    /// It didn't answer in time, or not in a way that shows it.
    NoAnswer,
    /// It answered as a leader while a fence stands around it.
    Fenced,
    /// It answered as a leader, and this node, which is isolated, can't rule out that another one leads.
    Rivalled,
}

/// Whether a fence around a database denies that it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fence {
    /// It does.
    Counts,
    /// It was put up before the database took the lead.
    IsOver,
}

/// What runs for one group.
#[derive(Debug, Default)]
struct GroupConfirmation {
    /// True while the group is searched for a primary.
    searching: Cell<bool>,
    /// When the running confirmation was sent, if one runs.
    confirming: Cell<Option<Timestamp>>,
}

/// Confirms that databases lead.
pub struct Confirmations {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    fleet: Rc<Fleet>,
    checks: Rc<LeadershipChecks>,
    statements: Rc<OwnStatements>,
    groups: RefCell<HashMap<GroupName, Rc<GroupConfirmation>>>,
}

impl Confirmations {
    /// Confirmations by `statements`; `checks` judges what an isolated node may believe.
    pub fn new(
        databases: Rc<Databases>,
        fleet: Rc<Fleet>,
        checks: Rc<LeadershipChecks>,
        statements: Rc<OwnStatements>,
    ) -> Rc<Self> {
        Rc::new(Self {
            cx: fleet.cx.clone(),
            databases,
            fleet,
            checks,
            statements,
            groups: RefCell::default(),
        })
    }

    fn group(&self, name: &GroupName) -> Rc<GroupConfirmation> {
        let mut groups = self.groups.borrow_mut();
        groups.entry(name.clone()).or_default().clone()
    }

    /// Makes sure that an observation covers `covered`, if the primary can be asked in time.
    pub async fn ensure_observation(
        self: &Rc<Self>,
        group: &GroupName,
        covered: Timestamp,
        until: Instant,
    ) -> Option<LogPosition> {
        let state = self.databases.group(group);
        let running = self.group(group);
        let until = until.min(Instant::now() + CONFIRM_LIMIT);
        loop {
            let observed = state.observed.notified();
            if let Some(found) = state.observations.borrow().covering(covered) {
                return Some(found.position);
            }
            self.start(group, covered);
            let in_time = tokio::time::timeout_at(until, observed).await;
            if in_time.is_err() || running.confirming.get().is_none() {
                let found = state.observations.borrow().covering(covered);
                return found.map(|found| found.position);
            }
        }
    }

    /// Confirms the primary of a group in the background, unless one that was sent since `covered` runs.
    fn start(self: &Rc<Self>, group: &GroupName, covered: Timestamp) {
        let running = self.group(group);
        if running.confirming.get().is_some_and(|sent| sent >= covered) {
            return;
        }
        running.confirming.set(Some(self.cx.now()));
        let confirmations = self.clone();
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let sent = confirmations.cx.now();
            let databases = &confirmations.databases;
            let primary = databases.primary_target(&group, &ServingRegions::anywhere());
            if let Ok(target) = primary {
                confirmations.confirm_leader(&target).await;
            }
            let started = running.confirming.get();
            if started.is_some_and(|started| started <= sent) {
                running.confirming.set(None);
            }
            databases.group(&group).observed.notify_waiters();
        });
    }

    /// Asks a database to open and drop a transaction that only a primary accepts.
    pub async fn confirm_leader(&self, target: &Target) -> Confirmation {
        self.confirm(target, Fence::Counts).await
    }

    /// Asks the same of a database whose appointment, with the newest fencing token, was accepted. A fence
    /// that still stands around it is from its own loss shortly before. It says nothing about the new lead:
    /// without this, a group whose databases were lost and came back in turn was without a primary for as
    /// long as that fence stands (8 s).
    pub async fn confirm_appointed(&self, target: &Target) -> Confirmation {
        match target.state.pool.is_cold() {
            true => self.confirm_by_status(target).await,
            false => self.confirm(target, Fence::IsOver).await,
        }
    }

    /// Asks a cold database for its status. Like all steps of a succession that needs no part of its rate, for
    /// which callers compete, and it costs one request in place of two.
    async fn confirm_by_status(&self, target: &Target) -> Confirmation {
        let sent = self.cx.now();
        let asked = self
            .statements
            .ask_status(target, OwnStatement::Status, CONFIRM_LIMIT);
        let Some(status) = asked.await else {
            return Confirmation::Unclear(Unclear::NoAnswer);
        };
        if !status.leads {
            return Confirmation::Follows;
        }
        if !self.checks.is_unrivalled(target).await {
            return Confirmation::Unclear(Unclear::Rivalled);
        }
        let position = Some(status.received);
        self.databases.observe(&target.group, position, sent);
        Confirmation::Leads
    }

    async fn confirm(&self, target: &Target, fence: Fence) -> Confirmation {
        let until = Instant::now() + CONFIRM_LIMIT;
        let exchange = self.exchange_as_leader(target, fence, until);
        match tokio::time::timeout_at(until, exchange).await {
            Ok(Ok(confirmation)) => confirmation,
            Ok(Err(unclear)) => Confirmation::Unclear(unclear),
            // Dropped: the caller treats it like a database that didn't answer.
            Err(_) => Confirmation::Unclear(Unclear::NoAnswer),
        }
    }

    async fn exchange_as_leader(
        &self,
        target: &Target,
        fence: Fence,
        until: Instant,
    ) -> Result<Confirmation, Unclear> {
        let work = Work::Statements;
        let connection = self.statements.connect(target, until, work).await;
        let mut connection = connection.ok_or(Unclear::NoConnection)?;
        self.cx.counters.confirmations.add();
        let sent = self.cx.now();
        let batch = Batch::own([OwnStatement::Begin, OwnStatement::Rollback]);
        let answers = connection.run(&batch).await.ok_or(Unclear::NoAnswer)?;
        let ended = answers[1].state == TransactionState::Idle;
        if ended {
            connection.give_back();
        }
        match &answers[0].end {
            Ok(_) if answers[1].end.is_ok() && ended => {
                if fence == Fence::Counts && self.databases.is_fenced(&target.name) {
                    return Err(Unclear::Fenced);
                }
                if !self.checks.is_unrivalled(target).await {
                    return Err(Unclear::Rivalled);
                }
                let position = answers[0].position;
                self.databases.observe(&target.group, position, sent);
                Ok(Confirmation::Leads)
            }
            Err(failure) if failure.kind == FailureKind::ReadOnly => Ok(Confirmation::Follows),
            _ => Err(Unclear::NoAnswer),
        }
    }

    /// Looks for the database that leads `group` among all of them, in the background.
    pub fn search_primary(self: &Rc<Self>, group: &GroupName) {
        let running = self.group(group);
        if running.searching.replace(true) {
            return;
        }
        let confirmations = self.clone();
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let targets = confirmations.search_targets(&group);
            let asked = targets.iter().map(|it| confirmations.confirm_leader(it));
            let replies = futures::future::join_all(asked).await;
            for (target, reply) in targets.iter().zip(replies) {
                if reply == Confirmation::Leads {
                    confirmations.acted_as_primary(target);
                }
            }
            tokio::time::sleep(SEARCH_PAUSE).await;
            running.searching.set(false);
        });
    }

    fn search_targets(&self, group: &GroupName) -> Vec<Target> {
        let directory = self.databases.directory.borrow();
        let ready = directory
            .members(group)
            .filter(|member| member.state == MemberState::Ready);
        ready
            .map(|member| self.databases.target(member, false))
            .collect()
    }

    /// The database that leads `group`, as soon as one is known that may get work which `regions` bind, by
    /// `until` at the latest.
    ///
    /// # Errors
    /// Why there is none; at once if waiting won't help.
    pub async fn primary_by(
        self: &Rc<Self>,
        group: &GroupName,
        regions: &ServingRegions,
        until: Instant,
    ) -> Result<Target, Denial> {
        loop {
            let denial = match self.databases.primary_target(group, regions) {
                Ok(target) => return Ok(target),
                Err(denial) => denial,
            };
            if denial.is_lasting() || Instant::now() >= until {
                return Err(denial);
            }
            self.search_primary(group);
            let pause = (Instant::now() + SEARCH_INTERVAL).min(until);
            self.cx.changes.next(pause).await;
        }
    }

    /// Records that a database acts as primary.
    pub fn acted_as_primary(&self, target: &Target) {
        let mut directory = self.databases.directory.borrow_mut();
        directory.acted_as_primary(&target.name);
        drop(directory);
        self.databases.lift_fence(&target.name);
    }

    /// Records that a database refused to act as primary.
    pub fn refused_as_primary(&self, target: &Target) {
        let mut directory = self.databases.directory.borrow_mut();
        directory.refused_as_primary(&target.name);
        drop(directory);
        self.cx.changes.notify();
        self.fleet.coordinator.attention.notify_one();
    }
}
