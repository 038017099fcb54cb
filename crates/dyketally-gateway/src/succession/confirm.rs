//! Confirms that a database leads its group, and searches a group for its primary.
//!
//! A confirmation also returns a position of the primary's log, against which the freshness of replicas is
//! checked. [`Confirmations`] owns which groups are being confirmed or searched. It relies on
//! [`LeadershipChecks`] to rule out another leader while this node is isolated.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::{Denial, ServingRegions};
use dyketally::failover::{Evidence, newest_leader};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::statement::{FailureKind, TransactionState};
use dyketally::time::Timestamp;
use tokio::time::Instant;

use super::checks::LeadershipChecks;
use super::own_statements::{OWN_QUEUE_TIMEOUT, OwnStatements};
use super::suspicion::Suspicions;
use crate::context::Context;
use crate::database::Databases;
use crate::database::batch::Batch;
use crate::database::connection_request::ConnectionUse;
use crate::database::target::Target;
use crate::fleet::Fleet;
use crate::ports::OwnStatement;

/// Time limit of a confirmation.
const CONFIRM_LIMIT: Duration = OWN_QUEUE_TIMEOUT;
/// Pause between two searches of a group for its primary.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause before a waiting statement checks again whether its group has a primary.
const RECHECK_INTERVAL: Duration = Duration::from_millis(120);

/// Result of a confirmation. The log's `failover_step` shows the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Confirmation {
    /// The database leads.
    Leads,
    /// The database answered that it doesn't lead.
    Follows,
    /// Whether the database leads isn't known.
    Unclear(Unclear),
}

/// Why it isn't known whether a database leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unclear {
    /// No connection to the database was obtained in time.
    NoConnection,
    /// The database didn't answer in time, or its answer doesn't show whether it leads.
    NoAnswer,
    /// The database answered as a leader while a fence is set around it.
    Fenced,
    /// The database answered as a leader, but this isolated node can't rule out that another database leads.
    Rivalled,
}

/// Whether a fence around the database prevents its confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FenceHandling {
    /// A fenced database isn't confirmed.
    Respect,
    /// The fence was set before the database was appointed anew, so it is ignored.
    Ignore,
}

/// The searches and confirmations that run for one group.
#[derive(Debug, Default)]
struct GroupConfirmation {
    /// True while the group is searched for its primary, and during the pause after the search.
    searching: Cell<bool>,
    /// When the running confirmation was started; `None` while none runs.
    confirming: Cell<Option<Timestamp>>,
}

/// Confirms that databases lead, and searches for primaries.
pub struct Confirmations {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    fleet: Rc<Fleet>,
    checks: Rc<LeadershipChecks>,
    statements: Rc<OwnStatements>,
    suspicions: Rc<Suspicions>,
    groups: RefCell<HashMap<GroupName, Rc<GroupConfirmation>>>,
}

impl Confirmations {
    /// Creates the part. Confirmations run through `statements`; `checks` rules out other leaders, and `suspicions` tells
    /// whether a database that doesn't reply has ended.
    pub fn new(
        databases: Rc<Databases>,
        fleet: Rc<Fleet>,
        checks: Rc<LeadershipChecks>,
        statements: Rc<OwnStatements>,
        suspicions: Rc<Suspicions>,
    ) -> Rc<Self> {
        Rc::new(Self {
            cx: fleet.cx.clone(),
            databases,
            fleet,
            checks,
            statements,
            suspicions,
            groups: RefCell::default(),
        })
    }

    fn group(&self, name: &GroupName) -> Rc<GroupConfirmation> {
        let mut groups = self.groups.borrow_mut();
        groups.entry(name.clone()).or_default().clone()
    }

    /// A log position of the primary that was observed at `covered` or later. Confirms the primary if there is no
    /// such observation yet; `None` if none is made by `until` or within [`CONFIRM_LIMIT`].
    pub async fn wait_for_observation(
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

    /// Confirms the primary of a group in the background, unless a confirmation started since `covered` runs.
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

    /// Has a database open and roll back a transaction that only a primary accepts.
    pub async fn confirm_leader(&self, target: &Target) -> Confirmation {
        self.confirm(target, FenceHandling::Respect).await
    }

    /// Confirms a database whose appointment, with the newest fencing token, was accepted. A fence that is still
    /// set around it was set when the database was lost shortly before, and doesn't concern its new lead.
    /// If that fence counted, a group whose databases are lost and return in turn would have no primary until
    /// the fence expires, 8 s after it was set.
    pub async fn confirm_appointed(&self, target: &Target) -> Confirmation {
        match target.state.pool.is_cold() {
            true => self.confirm_by_status(target).await,
            false => self.confirm(target, FenceHandling::Ignore).await,
        }
    }

    /// Confirms a cold database by a status request. Status requests, like all steps of a failover, don't
    /// count against the slow-start rate for which callers' statements compete, and this takes one request
    /// in place of two.
    async fn confirm_by_status(&self, target: &Target) -> Confirmation {
        let sent = self.cx.now();
        let request = self
            .statements
            .ask_status(target, OwnStatement::Status, CONFIRM_LIMIT);
        let Some(status) = request.await else {
            return Confirmation::Unclear(Unclear::NoAnswer);
        };
        if !status.leads {
            return Confirmation::Follows;
        }
        if !self.checks.no_other_leads(target).await {
            return Confirmation::Unclear(Unclear::Rivalled);
        }
        let position = Some(status.received);
        self.databases
            .record_primary_position(&target.group, position, sent);
        Confirmation::Leads
    }

    async fn confirm(&self, target: &Target, fence: FenceHandling) -> Confirmation {
        let until = Instant::now() + CONFIRM_LIMIT;
        let exchange = self.run_confirmation(target, fence, until);
        match tokio::time::timeout_at(until, exchange).await {
            Ok(Ok(confirmation)) => confirmation,
            Ok(Err(unclear)) => Confirmation::Unclear(unclear),
            // Dropped: a confirmation that exceeds its time limit counts as a missing answer.
            Err(_) => Confirmation::Unclear(Unclear::NoAnswer),
        }
    }

    /// Runs the two statements of a confirmation, and records the observed position if the database leads.
    async fn run_confirmation(
        &self,
        target: &Target,
        fence: FenceHandling,
        until: Instant,
    ) -> Result<Confirmation, Unclear> {
        let connection_use = ConnectionUse::Statements;
        let connection = self.statements.connect(target, until, connection_use).await;
        let mut connection = connection.ok_or(Unclear::NoConnection)?;
        self.cx.counters.confirmations.add();
        let sent = self.cx.now();
        let batch = Batch::of_gateway([OwnStatement::Begin, OwnStatement::Rollback]);
        let answers = connection.run(&batch).await.ok_or(Unclear::NoAnswer)?;
        let ended = answers[1].state == TransactionState::Idle;
        if ended {
            connection.give_back();
        }
        match &answers[0].end {
            Ok(_) if answers[1].end.is_ok() && ended => {
                if fence == FenceHandling::Respect && self.databases.is_fenced(&target.name) {
                    return Err(Unclear::Fenced);
                }
                if !self.checks.no_other_leads(target).await {
                    return Err(Unclear::Rivalled);
                }
                let position = answers[0].position;
                self.databases
                    .record_primary_position(&target.group, position, sent);
                Ok(Confirmation::Leads)
            }
            Err(failure) if failure.kind == FailureKind::ReadOnly => Ok(Confirmation::Follows),
            _ => Err(Unclear::NoAnswer),
        }
    }

    /// Asks all ready databases of `group` in the background whether they lead, and records the one that does.
    pub fn search_primary(self: &Rc<Self>, group: &GroupName) {
        let running = self.group(group);
        if running.searching.replace(true) {
            return;
        }
        let confirmations = self.clone();
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let targets = confirmations.search_targets(&group);
            let is_contested = confirmations
                .databases
                .directory
                .borrow()
                .is_contested(&group);
            let leading = match is_contested {
                true => confirmations.search_by_term(&targets).await,
                false => confirmations.search_by_transaction(&targets).await,
            };
            if let Some(leading) = leading {
                confirmations.record_acted_as_primary(leading);
            }
            tokio::time::sleep(SEARCH_PAUSE).await;
            running.searching.set(false);
        });
    }

    /// Searches `targets`, the databases of a group, for the one that opens a transaction as leader. If several do, a
    /// former primary doesn't know of its successor yet, and their terms decide.
    async fn search_by_transaction<'a>(
        self: &Rc<Self>,
        targets: &'a [Target],
    ) -> Option<&'a Target> {
        let requests = targets.iter().map(|it| self.confirm_leader(it));
        let replies = futures::future::join_all(requests).await;
        let replies = targets.iter().zip(replies);
        let mut leading = replies.filter(|(_, reply)| *reply == Confirmation::Leads);
        match (leading.next(), leading.next()) {
            (Some((leading, _)), None) => Some(leading),
            (Some(_), Some(_)) => self.search_by_term(targets).await,
            (None, _) => None,
        }
    }

    /// Searches `targets`, the databases of a group, for the one that leads in the newest term that any of them knows.
    async fn search_by_term<'a>(&self, targets: &'a [Target]) -> Option<&'a Target> {
        let sent = self.cx.now();
        let requests = targets.iter().map(|target| {
            let status = OwnStatement::Status;
            self.statements.ask_status(target, status, CONFIRM_LIMIT)
        });
        let replies = futures::future::join_all(requests).await;
        let leading = newest_leader(&replies)?;
        let target = &targets[leading];
        let replied = targets.iter().zip(&replies);
        let replied = replied.filter(|(_, reply)| reply.is_some());
        let replied: Vec<&DatabaseName> = replied.map(|(target, _)| &target.name).collect();
        if self.silent_primary_may_lead(&target.group, &replied)
            || self.silent_claimant_may_lead(&target.group, &replied).await
        {
            return None;
        }
        if self.databases.is_fenced(&target.name) || !self.checks.no_other_leads(target).await {
            return None;
        }
        let position = replies[leading].map(|status| status.received);
        self.databases
            .record_primary_position(&target.group, position, sent);
        Some(target)
    }

    /// True when the confirmed primary of `group` isn't among the databases that replied, so that it may lead in a later
    /// term than these. A fence around it shows that it is being replaced.
    fn silent_primary_may_lead(&self, group: &GroupName, replied: &[&DatabaseName]) -> bool {
        let directory = self.databases.directory.borrow();
        let primary = directory.confirmed_primary(group);
        primary.is_some_and(|primary| {
            !replied.contains(&primary.name()) && !self.databases.is_fenced(primary.name())
        })
    }

    /// True when no primary of `group` is confirmed at this node, and a database that has announced the lead may run but
    /// isn't among those that replied. It may lead in a later term than these: a node that has just started knows of no
    /// succession.
    async fn silent_claimant_may_lead(&self, group: &GroupName, replied: &[&DatabaseName]) -> bool {
        if self.has_confirmed_primary(group) {
            return false;
        }
        for claimant in self.databases.recent_claimants(group) {
            let is_silent = !replied.contains(&&claimant.name);
            if is_silent
                && !self.databases.is_fenced(&claimant.name)
                && self.suspicions.evidence_of(&claimant).await != Evidence::Refused
            {
                return true;
            }
        }
        false
    }

    fn has_confirmed_primary(&self, group: &GroupName) -> bool {
        let directory = self.databases.directory.borrow();
        directory.confirmed_primary(group).is_some()
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

    /// Waits until a primary of `group` is known that may get statements bound to `regions`, at most until
    /// `until`.
    ///
    /// # Errors
    /// Why there is no such primary. Returned without waiting if it won't change soon.
    pub async fn wait_for_primary(
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
            let pause = (Instant::now() + RECHECK_INTERVAL).min(until);
            self.cx.changes.next(pause).await;
        }
    }

    /// Records that a database acts as primary, and clears this node's fence around it.
    pub fn record_acted_as_primary(&self, target: &Target) {
        let mut directory = self.databases.directory.borrow_mut();
        directory.acted_as_primary(&target.name);
        drop(directory);
        self.databases.clear_fence(&target.name);
    }

    /// Records that a database refused to act as primary, and wakes waiting statements and the coordinator.
    pub fn record_refused_as_primary(&self, target: &Target) {
        let mut directory = self.databases.directory.borrow_mut();
        directory.refused_as_primary(&target.name);
        drop(directory);
        self.cx.changes.notify();
        self.fleet.coordinator.attention.notify_one();
    }
}
