//! Replaces the primary of a group: by a planned handover if it answers, otherwise by fencing it and appointing
//! a successor. Also chooses the successor.
//!
//! Owns nothing; relies on `fence`, `survey`, `handover` and `appointment`.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::ServingRegions;
use dyketally::failover::{Evidence, Succession, choose_successor, group_fence};
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use super::appointment::AppointmentOutcome;
use super::cause::{Cause, NO_PRIMARY_GRACE};
use super::failover::Failover;
use super::handover::{Handover, IfNotCaughtUp, STEP_DOWN_LIMIT};
use super::survey::{Survey, SurveyScope};
use crate::database::target::Target;
use crate::ports::OwnStatement;

/// How long the log positions of a survey are treated as current.
const SURVEY_VALIDITY: Duration = Duration::from_millis(250);

impl Failover {
    /// Replaces the primary of `group` for `cause`; true when a database leads the group afterwards.
    pub(super) async fn replace(self: &Rc<Self>, group: &GroupName, cause: &Cause) -> bool {
        let succeeded = match cause {
            Cause::Leaves(old) | Cause::Unlisted(old) => {
                let anywhere = ServingRegions::anywhere();
                match self
                    .hand_over(group, old, &anywhere, IfNotCaughtUp::AppointBest)
                    .await
                {
                    Handover::Leads => true,
                    Handover::Deferred | Handover::Failed | Handover::NotSteppedDown => false,
                    // The primary doesn't answer, so it is replaced like a lost one.
                    Handover::NoReply => self.take_over(group, Some(old), STEP_DOWN_LIMIT).await,
                }
            }
            Cause::Evacuated(old) => self.evacuate(group, old).await,
            Cause::Misplaced(old, regions) => self.move_lead(group, old, regions).await,
            Cause::Cold(old) => {
                let anywhere = ServingRegions::anywhere();
                self.move_lead(group, old, &anywhere).await
            }
            Cause::Lost(old, suspected) => self.take_over(group, Some(old), *suspected).await,
            Cause::Shunned(primary) => self.reinstate(group, primary).await,
            Cause::NoPrimary => self.take_over(group, None, NO_PRIMARY_GRACE).await,
        };
        if self.has_suspended(group) {
            self.resume_replicas(group).await;
        }
        succeeded
    }

    /// Clears the fence that a former coordinator left around `primary`, so that all nodes treat it as leader
    /// again. It is first appointed with this coordinator's token: that changes nothing if it leads, and an
    /// appointment of another database that is still in flight can't take effect any more.
    async fn reinstate(self: &Rc<Self>, group: &GroupName, primary: &Target) -> bool {
        let surveyed = self
            .survey(group, None, SurveyScope::Listed, OwnStatement::Status)
            .await;
        match &surveyed.leading {
            Some(leading) if leading.name == primary.name => {
                self.appoint(group, &primary.name).await == AppointmentOutcome::Leads
            }
            Some(leading) => self.adopt(group, leading).await == AppointmentOutcome::Leads,
            None => false,
        }
    }

    /// Moves the lead to `regions` for preference alone; deferred while no replica there keeps up.
    async fn move_lead(
        self: &Rc<Self>,
        group: &GroupName,
        old: &Target,
        regions: &ServingRegions,
    ) -> bool {
        let now = self.cx.now();
        self.moves.borrow_mut().record_move(group, now);
        let handover = self
            .hand_over(group, old, regions, IfNotCaughtUp::ReappointOld)
            .await;
        if handover == Handover::Deferred {
            let now = self.cx.now();
            self.moves.borrow_mut().defer(group, now);
        }
        handover == Handover::Leads
    }

    /// Moves the lead out of an evacuated zone: to the preferred regions, or anywhere if that is deferred.
    async fn evacuate(self: &Rc<Self>, group: &GroupName, old: &Target) -> bool {
        let regions = self.databases.successor_regions(old);
        let mut handover = self
            .hand_over(group, old, &regions, IfNotCaughtUp::ReappointOld)
            .await;
        if handover == Handover::Deferred && !regions.is_anywhere() {
            let anywhere = ServingRegions::anywhere();
            handover = self
                .hand_over(group, old, &anywhere, IfNotCaughtUp::ReappointOld)
                .await;
        }
        match handover {
            Handover::Leads => true,
            Handover::Deferred | Handover::Failed | Handover::NotSteppedDown => false,
            Handover::NoReply => self.take_over(group, Some(old), STEP_DOWN_LIMIT).await,
        }
    }

    /// Replaces the primary `old`, which doesn't answer and was suspected `suspected` ago, or appoints a primary
    /// for a group without a known one.
    async fn take_over(
        self: &Rc<Self>,
        group: &GroupName,
        old: Option<&Target>,
        suspected: Duration,
    ) -> bool {
        if old.is_none() && self.claimant_turns_nodes_away(group).await {
            self.log_step(
                group,
                "put off",
                "a database that may lead turns connections away".to_owned(),
            );
            return false;
        }
        let Some((surveyed, fenced)) = self.fence_and_survey(group, old, suspected).await else {
            self.record_unclosed_fence(group);
            return false;
        };
        // The database that leads by its own account may be a former primary whose successor doesn't reply.
        let is_contested = old.is_some() || !self.silent_claimants(group, &surveyed).is_empty();
        let appointed = match &surveyed.leading {
            Some(leading) if !is_contested => self.adopt(group, leading).await,
            // Its appointment begins a term of its own.
            Some(leading) if self.acknowledging_replicas(group) == 0 => {
                self.appoint(group, &leading.name).await
            }
            _ => self.appoint_best(group, old, surveyed).await,
        };
        // The fences are kept until they expire while an appointment may still take effect.
        if appointed == AppointmentOutcome::WontLead {
            fenced.iter().for_each(|name| self.fences.clear(name));
        }
        appointed == AppointmentOutcome::Leads
    }

    /// True when a database of `group` that announces the lead runs, but accepts no connection for the question whether it
    /// leads: connections of machines that have lost power may still count against its limit.
    async fn claimant_turns_nodes_away(&self, group: &GroupName) -> bool {
        let surveyed = self
            .statuses(group, None, SurveyScope::Listed, OwnStatement::Status)
            .await;
        for claimant in self.silent_claimants(group, &surveyed) {
            let evidence = self.leadership.suspicions.evidence_of(&claimant).await;
            if evidence == Evidence::Answered {
                return true;
            }
        }
        false
    }

    /// The databases of `group` that have announced the lead and didn't reply to the survey.
    fn silent_claimants(&self, group: &GroupName, surveyed: &Survey) -> Vec<Target> {
        let silent = surveyed.silent();
        let mut claimants = self.databases.recent_claimants(group);
        claimants.retain(|claimant| silent.contains(&claimant.name));
        claimants
    }

    /// Chooses a successor from `surveyed` and appoints it. Where commits need acknowledgements, the replicas
    /// are suspended first, so that their logs don't change any more.
    async fn appoint_best(
        self: &Rc<Self>,
        group: &GroupName,
        old: Option<&Target>,
        mut surveyed: Survey,
    ) -> AppointmentOutcome {
        if self.acknowledging_replicas(group) > 0 {
            // A takeover that can't succeed leaves the replicas as they are.
            if self.choose_database(group, &surveyed).is_none() {
                return AppointmentOutcome::WontLead;
            }
            self.record_suspension(group);
            let term = surveyed.newest_term + 1;
            let suspend = OwnStatement::Suspend { term };
            surveyed = self
                .survey(group, old, SurveyScope::Counting, suspend)
                .await;
        }
        match self.choose_database(group, &surveyed) {
            Some(successor) => self.appoint(group, &successor).await,
            None => AppointmentOutcome::WontLead,
        }
    }

    /// Fences the old primary on all nodes, or, if none is known, the databases that don't reply; and asks the
    /// other databases for their status. If a database that the survey doesn't reach may lead, the whole group is
    /// fenced, too. Returns the survey and the names of the fences; `None` when a fence couldn't be closed, so that
    /// some node may still use a fenced database.
    async fn fence_and_survey(
        self: &Rc<Self>,
        group: &GroupName,
        old: Option<&Target>,
        suspected: Duration,
    ) -> Option<(Survey, Vec<DatabaseName>)> {
        let survey = || self.survey(group, old, SurveyScope::Counting, OwnStatement::Status);
        let whole_group = self.another_may_lead(group, old);
        let whole_group = whole_group.then(|| group_fence(group));
        let began = Instant::now();
        let Some(old) = old else {
            let surveyed = survey().await;
            let fenced: Vec<_> = surveyed.silent().into_iter().chain(whole_group).collect();
            let closed = self.close_fences(group, &fenced, suspected).await;
            return closed.then_some((surveyed, fenced));
        };
        let fenced: Vec<_> = [old.name.clone()].into_iter().chain(whole_group).collect();
        let closing = self.close_fences(group, &fenced, suspected);
        let (closed, surveyed) = futures::join!(closing, survey());
        if !closed {
            return None;
        }
        // If closing the fence took long, the replicas may have received more of the log since the survey.
        match began.elapsed() < SURVEY_VALIDITY {
            true => Some((surveyed, fenced)),
            false => Some((survey().await, fenced)),
        }
    }

    /// True when a database other than `old` may lead `group` without being known to: no primary is known, an
    /// appointment by this coordinator may have taken effect, or the fence of a former one shows that it began to
    /// replace `old`.
    pub(super) fn another_may_lead(&self, group: &GroupName, old: Option<&Target>) -> bool {
        let is_unsettled = self.appointments.borrow().is_unsettled(group);
        is_unsettled || old.is_none_or(|old| self.databases.is_fenced(&old.name))
    }

    /// Closes the fences with the names `fenced`, all at the same time. If one can't be closed, clears the others and
    /// returns false.
    pub(super) async fn close_fences(
        &self,
        group: &GroupName,
        fenced: &[DatabaseName],
        suspected: Duration,
    ) -> bool {
        let closing = fenced
            .iter()
            .map(|name| self.fences.close(group, name, suspected));
        let closed = futures::future::join_all(closing).await;
        let all_closed = closed.into_iter().all(|closed| closed);
        if !all_closed {
            fenced.iter().for_each(|name| self.fences.clear(name));
        }
        all_closed
    }

    /// The successor to appoint by `surveyed`; `None`, and logged, if no database may be appointed.
    pub(super) fn choose_database(
        &self,
        group: &GroupName,
        surveyed: &Survey,
    ) -> Option<DatabaseName> {
        // Counted are all that may have acknowledged commits, not those that are left. One of them is the lost primary.
        let replicas = self
            .databases
            .directory
            .borrow()
            .log_holders(group)
            .saturating_sub(1);
        let acknowledging_replicas = self.acknowledging_replicas(group);
        let choice = choose_successor(&surveyed.candidates, replicas, acknowledging_replicas);
        self.promotable(group, choice)
    }

    /// The database that `choice` promotes; `None`, and logged, if it promotes none.
    pub(super) fn promotable(&self, group: &GroupName, choice: Succession) -> Option<DatabaseName> {
        match choice {
            Succession::Promote(successor) => Some(successor),
            choice => {
                self.log_step(group, "no successor", format!("{choice:?}"));
                None
            }
        }
    }

    /// Has all nodes use `leading`, which a survey found to lead `group` already; a fence of this takeover may hold
    /// for it as well. If this coordinator has appointed another database, `leading` is appointed with a newer token
    /// first, so that the earlier appointment can't take effect any more.
    pub(super) async fn adopt(
        self: &Rc<Self>,
        group: &GroupName,
        leading: &Target,
    ) -> AppointmentOutcome {
        self.log_step(group, "found", format!("{leading:?} leads already"));
        let last = self.appointments.borrow().last_appointed(group).cloned();
        if last.is_some_and(|appointed| appointed != leading.name) {
            return self.appoint(group, &leading.name).await;
        }
        self.announce_leader(group, &leading.name);
        AppointmentOutcome::Leads
    }

    /// How many replicas of `group` must have received a commit before it is acknowledged.
    pub(super) fn acknowledging_replicas(&self, group: &GroupName) -> usize {
        let routes = self.cx.routes();
        let limits = routes.groups.get(group);
        limits.map_or(0, |limits| limits.acknowledging_replicas as usize)
    }
}
