//! Has suspended replicas receive the log again.
//!
//! A takeover suspends the replicas to compare their logs. While they are suspended, the primary of a group whose
//! commits wait for replicas acknowledges nothing. So the suspension has to end however the takeover ended: it failed, it
//! promoted one of the replicas, or the coordinator was lost halfway and another one took the duty.
//!
//! [`Suspensions`] owns what this coordinator knows of it. Relies on surveys, and on `appointment` to rule out that an
//! appointment by a former coordinator takes effect after its suspension was undone.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use super::appointment::AppointmentOutcome;
use super::failover::Failover;
use super::survey::{STATUS_LIMIT, SurveyScope};
use crate::ports::OwnStatement;

/// Pause between two attempts to undo the suspensions of a group, where a replica didn't answer.
const ATTEMPT_PAUSE: Duration = Duration::from_secs(2);

/// What this coordinator knows of suspended replicas.
#[derive(Debug, Default)]
pub(super) struct Suspensions {
    /// The groups whose replicas all answered that they aren't suspended, or were resumed.
    resumed: HashSet<GroupName>,
    /// The groups whose replicas this coordinator has suspended and not resumed yet.
    own: HashSet<GroupName>,
    /// When an attempt to resume replicas of a group last failed.
    failed: HashMap<GroupName, Instant>,
}

impl Suspensions {
    /// Forgets everything, as another node may have suspended replicas since this one last had the duty.
    pub(super) fn forget(&mut self) {
        self.resumed.clear();
        self.own.clear();
        self.failed.clear();
    }

    fn record(&mut self, group: &GroupName, is_resumed: bool) {
        if is_resumed {
            self.failed.remove(group);
            self.own.remove(group);
            self.resumed.insert(group.clone());
        } else {
            self.failed.insert(group.clone(), Instant::now());
        }
    }
}

impl Failover {
    /// Records that replicas of `group` are about to be suspended.
    pub(super) fn record_suspension(&self, group: &GroupName) {
        let mut suspensions = self.suspensions.borrow_mut();
        suspensions.resumed.remove(group);
        suspensions.own.insert(group.clone());
    }

    /// True when this coordinator has suspended replicas of `group` and not resumed them yet.
    pub(super) fn has_suspended(&self, group: &GroupName) -> bool {
        self.suspensions.borrow().own.contains(group)
    }

    /// True when commits of `group` wait for replicas, some of these may be suspended, and no attempt to resume them has
    /// just failed.
    pub(super) fn is_resumption_due(&self, group: &GroupName) -> bool {
        if self.acknowledging_replicas(group) == 0 {
            return false;
        }
        let suspensions = self.suspensions.borrow();
        let failed = suspensions.failed.get(group);
        let has_just_failed = failed.is_some_and(|at| at.elapsed() < ATTEMPT_PAUSE);
        !suspensions.resumed.contains(group) && !has_just_failed
    }

    /// Resumes the replicas that a former coordinator or a failed attempt left suspended in `group`, which its primary
    /// leads. The primary is appointed with this coordinator's token first: an appointment by the former coordinator
    /// that is still in flight would promote a log without the commits that are acknowledged from now on.
    pub(super) async fn undo_suspensions(self: &Rc<Self>, group: &GroupName) {
        if !self.is_resumption_due(group) || self.fleet.coordinator.term().is_none() {
            return;
        }
        let is_resumed = self.try_to_resume(group).await;
        self.suspensions.borrow_mut().record(group, is_resumed);
    }

    /// True when no replica of `group` is suspended any more.
    async fn try_to_resume(self: &Rc<Self>, group: &GroupName) -> bool {
        let Some((primary, _)) = self.known_primary(group) else {
            return false;
        };
        let status = OwnStatement::Status;
        let statements = &self.leadership.statements;
        let (leader, replicas) = futures::join!(
            statements.ask_status(&primary, status.clone(), STATUS_LIMIT),
            self.statuses(group, Some(&primary), SurveyScope::Listed, status),
        );
        let leads = leader.is_some_and(|it| it.leads && it.term >= replicas.newest_term);
        if !leads || !replicas.found_suspended {
            return leads && replicas.silent().is_empty();
        }
        let appointed = self.appoint(group, &primary.name).await;
        appointed == AppointmentOutcome::Leads && self.resume(group).await
    }

    /// Resumes the replicas that this coordinator has suspended in `group`, after a takeover.
    pub(super) async fn resume_replicas(&self, group: &GroupName) {
        let is_resumed = self.resume(group).await;
        self.suspensions.borrow_mut().record(group, is_resumed);
    }

    /// Has the databases of `group` receive the log again; true if all replied. Those that aren't suspended ignore it.
    async fn resume(&self, group: &GroupName) -> bool {
        let primary = self.known_primary(group).map(|(primary, _)| primary);
        let resume = OwnStatement::Resume;
        let resumed = self.survey(group, primary.as_ref(), SurveyScope::Counting, resume);
        resumed.await.silent().is_empty()
    }
}
