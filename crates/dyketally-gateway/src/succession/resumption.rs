//! Has suspended replicas receive the log again.
//!
//! A takeover suspends the replicas to compare their logs. While they are suspended, the primary of a group whose
//! commits wait for replicas acknowledges nothing. So the suspension has to end however the takeover ended: it failed, it
//! promoted one of the replicas, or the coordinator was lost halfway and another one took the duty.
//!
//! Owns nothing; relies on [`Suspensions`](super::suspensions::Suspensions) for what this coordinator knows, on surveys,
//! and on `appointment` to rule out that an appointment by a former coordinator takes effect after its suspension was
//! undone.

use std::rc::Rc;

use dyketally::identifiers::GroupName;

use super::appointment::AppointmentOutcome;
use super::failover::Failover;
use super::survey::{STATUS_LIMIT, SurveyScope};
use crate::ports::OwnStatement;

impl Failover {
    /// Records that replicas of `group` are about to be suspended.
    pub(super) fn record_suspension(&self, group: &GroupName) {
        self.suspensions.borrow_mut().record_suspension(group);
    }

    /// True when this coordinator has suspended replicas of `group` and not resumed them yet.
    pub(super) fn has_suspended(&self, group: &GroupName) -> bool {
        self.suspensions.borrow().has_suspended(group)
    }

    /// True when commits of `group` wait for replicas, some of these may be suspended, and no attempt to resume them has
    /// just failed.
    pub(super) fn is_resumption_due(&self, group: &GroupName) -> bool {
        self.acknowledging_replicas(group) > 0 && self.suspensions.borrow().is_attempt_due(group)
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
