//! Exchanges with databases on the gateway's own behalf: confirming what a primary's log holds,
//! searching for a primary, and asking for status.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::admission::Patience;
use dyketally::directory::MemberState;
use dyketally::eligibility::{Permission, ServingRegions};
use dyketally::group::LogPosition;
use dyketally::identifiers::GroupName;
use dyketally::statement::{DatabaseStatus, FailureKind, TransactionState};
use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::database::batch::Batch;
use crate::database::claim::{Claim, Work};
use crate::database::pool::OWN_PRIORITY;
use crate::database::target::Target;
use crate::gateway::Gateway;
use crate::ports::OwnStatement;

/// Longest time that a confirmation may take.
const CONFIRM_LIMIT: Duration = Duration::from_millis(400);
/// Pause between two searches for a primary.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);

/// What an exchange to confirm that a database leads came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// It leads.
    Leads,
    /// It answered that it doesn't.
    Follows,
    /// It didn't answer, or not in a way that tells.
    Unclear,
}

impl Gateway {
    /// Makes sure that an observation covers `covered`, if the primary can be asked in time.
    pub async fn ensure_observation(
        self: &Rc<Self>,
        group: &GroupName,
        covered: Timestamp,
        until: Instant,
    ) -> Option<LogPosition> {
        let state = self.databases.group(group);
        let leadership = self.leadership.group(group);
        let until = until.min(Instant::now() + CONFIRM_LIMIT);
        loop {
            let observed = state.observed.notified();
            if let Some(found) = state.observations.borrow().covering(covered) {
                return Some(found.position);
            }
            self.start_confirmation(group, covered);
            let in_time = tokio::time::timeout_at(until, observed).await;
            if in_time.is_err() || leadership.confirming.get().is_none() {
                let found = state.observations.borrow().covering(covered);
                return found.map(|found| found.position);
            }
        }
    }

    fn start_confirmation(self: &Rc<Self>, group: &GroupName, covered: Timestamp) {
        let state = self.leadership.group(group);
        if state.confirming.get().is_some_and(|sent| sent >= covered) {
            return;
        }
        state.confirming.set(Some(self.cx.now()));
        let gateway = self.clone();
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let sent = gateway.cx.now();
            if let Ok(target) = gateway
                .databases
                .primary_target(&group, &ServingRegions::anywhere())
            {
                gateway.confirm_leader(&target).await;
            }
            let state = gateway.leadership.group(&group);
            if state
                .confirming
                .get()
                .is_some_and(|started| started <= sent)
            {
                state.confirming.set(None);
            }
            let observed = gateway.databases.group(&group);
            observed.observed.notify_waiters();
        });
    }

    /// Asks a database to open and drop a transaction that only a primary takes.
    pub async fn confirm_leader(self: &Rc<Self>, target: &Target) -> Confirmation {
        let until = Instant::now() + CONFIRM_LIMIT;
        let exchange = self.exchange_as_leader(target, until);
        match tokio::time::timeout_at(until, exchange).await {
            Ok(confirmation) => confirmation,
            Err(_) => Confirmation::Unclear,
        }
    }

    async fn exchange_as_leader(self: &Rc<Self>, target: &Target, until: Instant) -> Confirmation {
        let values = BTreeMap::new();
        let claim = own_claim(until, Work::Statements);
        let checkout = self.checkout_for(target, &values, claim);
        let Ok(mut checkout) = checkout.await else {
            return Confirmation::Unclear;
        };
        self.cx.counters.confirmations.add();
        let sent = self.cx.now();
        let batch = Batch::own([OwnStatement::Begin, OwnStatement::Rollback]);
        let permission = Permission::control(&target.name);
        let exchange = self.exchange(&mut checkout, target, &batch, permission);
        let Ok(answers) = exchange.await else {
            return Confirmation::Unclear;
        };
        let ended = answers[1].state == TransactionState::Idle;
        if ended {
            checkout.give_back();
        }
        match &answers[0].end {
            Ok(_) if answers[1].end.is_ok() && ended && self.is_unrivalled(target).await => {
                self.databases
                    .observe(&target.group, answers[0].position, sent);
                Confirmation::Leads
            }
            Err(failure) if failure.kind == FailureKind::ReadOnly => Confirmation::Follows,
            _ => Confirmation::Unclear,
        }
    }

    /// Looks for the database that leads `group` among all of them, in the background.
    pub fn search_primary(self: &Rc<Self>, group: &GroupName) {
        let state = self.leadership.group(group);
        if state.searching.replace(true) {
            return;
        }
        let gateway = self.clone();
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let targets = gateway.search_targets(&group);
            let asked = targets.iter().map(|target| gateway.confirm_leader(target));
            let replies = futures::future::join_all(asked).await;
            for (target, reply) in targets.iter().zip(replies) {
                if reply == Confirmation::Leads {
                    gateway.leads(target);
                }
            }
            tokio::time::sleep(SEARCH_PAUSE).await;
            gateway.leadership.group(&group).searching.set(false);
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

    /// Takes in that a database acts as primary.
    pub fn leads(&self, target: &Target) {
        self.databases
            .directory
            .borrow_mut()
            .acted_as_primary(&target.name);
        self.databases.lift_fence(&target.name);
    }

    /// Takes in that a database refused to act as primary.
    pub fn follows(&self, target: &Target) {
        self.databases
            .directory
            .borrow_mut()
            .refused_as_primary(&target.name);
        self.cx.changes.notify();
        self.fleet.coordinator.attention.notify_one();
    }

    /// Has a database carry out one of the gateway's statements that answer with its status.
    pub async fn ask_status(
        self: &Rc<Self>,
        target: &Target,
        statement: OwnStatement,
        limit: Duration,
    ) -> Option<DatabaseStatus> {
        let until = Instant::now() + limit;
        let values = BTreeMap::new();
        let exchange = async {
            loop {
                let claim = own_claim(until, Work::Control);
                let checkout = self.checkout_for(target, &values, claim);
                let mut checkout = checkout.await.ok()?;
                let batch = Batch::own([statement.clone()]);
                let permission = Permission::control(&target.name);
                let exchange = self.exchange(&mut checkout, target, &batch, permission);
                let answers = exchange.await.ok()?;
                let answer = answers.into_iter().next()?;
                checkout.give_back();
                match answer.end {
                    Ok(_) => {
                        return self
                            .databases
                            .connector
                            .protocol
                            .status(answer.rows.first()?);
                    }
                    Err(failure) if failure.kind == FailureKind::Busy => {
                        tokio::time::sleep(Duration::from_millis(15)).await;
                    }
                    Err(_) => return None,
                }
            }
        };
        tokio::time::timeout_at(until, exchange).await.ok()?
    }
}

/// The claim of the gateway's own exchanges.
fn own_claim(until: Instant, work: Work) -> Claim {
    Claim {
        priority: OWN_PRIORITY,
        until,
        patience: Patience {
            burst: CONFIRM_LIMIT,
            standing: CONFIRM_LIMIT,
        },
        work,
        user: None,
        regions: ServingRegions::anywhere(),
    }
}
