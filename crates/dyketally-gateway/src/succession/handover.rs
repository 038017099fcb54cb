//! Planned handover: the old primary steps down, and a database that has received its whole log succeeds it.
//!
//! Owns nothing; relies on surveys for the databases' log positions and on `appointment` for the successor.

use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::ServingRegions;
use dyketally::failover::{
    Candidate, StepDownAnswer, Succession, choose_successor, evaluate_step_down, group_fence,
    newest_term, retain_warm,
};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::statement::DatabaseStatus;
use tokio::time::Instant;

use super::appointment::AppointmentOutcome;
use super::failover::{Failover, RETRY_PAUSE};
use super::survey::{STATUS_LIMIT, Survey, SurveyScope};
use crate::database::target::Target;
use crate::ports::OwnStatement;

/// How long a primary is asked repeatedly to step down.
pub(super) const STEP_DOWN_LIMIT: Duration = Duration::from_millis(1_200);
/// How long a planned handover waits until a successor has received the whole log.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a planned handover waits for a warm successor before it also accepts a cold one: half of
/// [`CATCH_UP_LIMIT`].
const WARM_CATCH_UP_LIMIT: Duration = Duration::from_millis(750);
/// Pause between two requests for the successor's log position.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

/// Which database is appointed when the primary has stepped down but no other database has its whole log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IfNotCaughtUp {
    /// The best of the other databases, without the rest of the log, as the old primary is about to end.
    AppointBest,
    /// The old primary, as it keeps running.
    ReappointOld,
}

/// The chosen successor, and whether it has received the log up to the required position.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CatchUp {
    /// The successor has received the whole log.
    Complete(DatabaseName),
    /// The successor lacks a part of the log, as do all other candidates.
    Behind(DatabaseName),
}

/// Outcome of a planned handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handover {
    /// Another database leads.
    Leads,
    /// Nothing was changed: no database can take over now, or no fencing token was obtained.
    Deferred,
    /// The old primary stepped down, but no other database was confirmed as leader.
    Failed,
    /// The old primary answered, but still leads, or follows a leader of a later term.
    NotSteppedDown,
    /// The old primary didn't confirm that it stepped down, and may still lead.
    NoReply,
}

/// Outcome of asking a primary to step down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepDown {
    /// It is a replica now, and this is the end of its log.
    Done(LogPosition),
    /// It answered, but still leads, or follows a leader of a later term.
    NotDone,
    /// It didn't answer.
    NoReply,
}

impl Failover {
    /// Has the old primary step down, and appoints a database in `regions` that has received its whole log. If no
    /// database has, `if_not_caught_up` decides. If a database that was appointed earlier may lead, the group is fenced
    /// first, so that no node uses that database beside the one that is appointed now.
    pub(super) async fn hand_over(
        self: &Rc<Self>,
        group: &GroupName,
        old: &Target,
        regions: &ServingRegions,
        if_not_caught_up: IfNotCaughtUp,
    ) -> Handover {
        let fenced: Vec<DatabaseName> = match self.another_may_lead(group, Some(old)) {
            true => vec![group_fence(group)],
            false => Vec::new(),
        };
        if !self.close_fences(group, &fenced, Duration::ZERO).await {
            return Handover::Failed;
        }
        let handover = self
            .hand_over_fenced(group, old, regions, if_not_caught_up)
            .await;
        let is_settled = !self.appointments.borrow().is_unsettled(group);
        if handover != Handover::Leads && is_settled {
            fenced.iter().for_each(|name| self.fences.clear(name));
        }
        handover
    }

    async fn hand_over_fenced(
        self: &Rc<Self>,
        group: &GroupName,
        old: &Target,
        regions: &ServingRegions,
        if_not_caught_up: IfNotCaughtUp,
    ) -> Handover {
        let (mut surveyed, old_replied) = self.survey_beside(group, old).await;
        self.restrict_to_regions(&mut surveyed.candidates, regions);
        if let Some(leading) = &surveyed.leading {
            // Where `old` leads a later term, the other one is a former primary.
            if !old_replied {
                return Handover::NoReply;
            }
            return match self.adopt(group, leading).await {
                AppointmentOutcome::Leads => Handover::Leads,
                AppointmentOutcome::MayStillLead | AppointmentOutcome::WontLead => Handover::Failed,
            };
        }
        // Once `old` has stepped down, the end of its log is known, and the successor has to hold all of it.
        let candidates = &surveyed.candidates;
        let choice = choose_successor(candidates, candidates.len(), 0);
        let Some(successor) = self.promotable(group, choice) else {
            return Handover::Deferred;
        };
        let is_about_to_end = if_not_caught_up == IfNotCaughtUp::AppointBest;
        // An acknowledged commit may be missing from every other database.
        let if_not_caught_up = match self.acknowledging_replicas(group) {
            0 => if_not_caught_up,
            _ => IfNotCaughtUp::ReappointOld,
        };
        if if_not_caught_up == IfNotCaughtUp::ReappointOld {
            let Some(status) = self.status_of_old(old).await else {
                return Handover::NoReply;
            };
            if is_about_to_end && self.is_ready(old) {
                self.log_step(group, "put off", "the primary is back".to_owned());
                return Handover::Deferred;
            }
            surveyed.learn_term(newest_term(&[Some(status)]));
            let keeps_up =
                self.wait_until_caught_up(group, old, status.received, successor.clone(), regions);
            if matches!(keeps_up.await, CatchUp::Behind(_)) {
                self.log_step(group, "put off", "no replica keeps up".to_owned());
                return Handover::Deferred;
            }
        }
        // Without a token neither a successor nor the old primary could be appointed after the step-down.
        if if_not_caught_up == IfNotCaughtUp::ReappointOld
            && self.token_for(group, &successor).await.is_none()
        {
            self.log_step(
                group,
                "put off",
                "no fencing token: the coordinator's lease ended or the store did not renew its key".to_owned(),
            );
            return Handover::Deferred;
        }
        let position = match self.step_down(old, surveyed.newest_term + 1).await {
            StepDown::Done(position) => position,
            StepDown::NotDone => return Handover::NotSteppedDown,
            StepDown::NoReply => return Handover::NoReply,
        };
        let caught_up = self.wait_until_caught_up(group, old, position, successor, regions);
        let successor = match (caught_up.await, if_not_caught_up) {
            (CatchUp::Complete(successor), _) => successor,
            (CatchUp::Behind(successor), IfNotCaughtUp::AppointBest) => successor,
            (CatchUp::Behind(_), IfNotCaughtUp::ReappointOld) => old.name.clone(),
        };
        match self.appoint(group, &successor).await {
            AppointmentOutcome::Leads if successor == old.name => Handover::Failed,
            AppointmentOutcome::Leads => Handover::Leads,
            AppointmentOutcome::MayStillLead | AppointmentOutcome::WontLead => Handover::Failed,
        }
    }

    /// Surveys the group for a handover from `old`. A primary steps down only for a term above its own, and a former
    /// primary that returns may say that it leads, so `old` is asked for its term as well. Returns whether it replied.
    async fn survey_beside(&self, group: &GroupName, old: &Target) -> (Survey, bool) {
        let statements = &self.leadership.statements;
        let (mut surveyed, status) = futures::join!(
            self.survey(group, Some(old), SurveyScope::Listed, OwnStatement::Status),
            statements.ask_status(old, OwnStatement::Status, STATUS_LIMIT),
        );
        surveyed.learn_term(newest_term(&[status]));
        (surveyed, status.is_some())
    }

    /// Has `old` step down, so that its log ends. If this node doesn't reach `old`, the request goes through another
    /// node. Repeated for at most [`STEP_DOWN_LIMIT`] until the answer shows that `old` is a replica: the first `term`
    /// may not be above the one in which `old` leads.
    async fn step_down(&self, old: &Target, term: u64) -> StepDown {
        let until = Instant::now() + STEP_DOWN_LIMIT;
        let mut term = term;
        let mut outcome = StepDown::NoReply;
        while Instant::now() < until {
            let statement = OwnStatement::StepDown { term };
            let status = self
                .leadership
                .statements
                .ask_status(old, statement, STATUS_LIMIT)
                .await;
            self.log_step(&old.group, "step down", format!("{old:?}: {status:?}"));
            match status.map(|status| evaluate_step_down(&status, term)) {
                Some(StepDownAnswer::SteppedDown(position)) => return StepDown::Done(position),
                Some(StepDownAnswer::Superseded) => return StepDown::NotDone,
                Some(StepDownAnswer::StillLeads { term: next }) if next > term => {
                    outcome = StepDown::NotDone;
                    term = next;
                    continue;
                }
                Some(StepDownAnswer::StillLeads { .. }) => outcome = StepDown::NotDone,
                None => self.leadership.suspicions.find_forwarder(old),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        outcome
    }

    /// The status of `old`, asked repeatedly for at most [`STEP_DOWN_LIMIT`], also through another node. Only a primary
    /// that replies is asked to step down where it would have to be appointed again: one that returns just then would
    /// step down before any replica has received the end of its log, and none could after that.
    async fn status_of_old(&self, old: &Target) -> Option<DatabaseStatus> {
        let until = Instant::now() + STEP_DOWN_LIMIT;
        while Instant::now() < until {
            let statements = &self.leadership.statements;
            let status = statements.ask_status(old, OwnStatement::Status, STATUS_LIMIT);
            if let Some(status) = status.await {
                return Some(status);
            }
            self.leadership.suspicions.find_forwarder(old);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// True when `database` announces that it accepts new statements.
    fn is_ready(&self, database: &Target) -> bool {
        let directory = self.databases.directory.borrow();
        let member = directory.member(&database.name);
        member.is_some_and(|member| member.state == MemberState::Ready)
    }

    /// Waits until a ready database has received the log up to `position`, at most [`CATCH_UP_LIMIT`]. Each
    /// survey chooses the best candidate anew; `chosen` is the result if none of them finds one.
    async fn wait_until_caught_up(
        &self,
        group: &GroupName,
        old: &Target,
        position: LogPosition,
        chosen: DatabaseName,
        regions: &ServingRegions,
    ) -> CatchUp {
        let began = Instant::now();
        let until = began + CATCH_UP_LIMIT;
        let mut chosen = chosen;
        while Instant::now() < until {
            // These surveys are too frequent to be logged.
            let mut survey = self
                .statuses(group, Some(old), SurveyScope::Listed, OwnStatement::Status)
                .await;
            self.restrict_to_regions(&mut survey.candidates, regions);
            let mut candidates: Vec<Candidate> = survey
                .candidates
                .into_iter()
                .filter(|candidate| candidate.ready)
                .collect();
            if began.elapsed() < WARM_CATCH_UP_LIMIT {
                retain_warm(&mut candidates);
            }
            let choice = choose_successor(&candidates, candidates.len(), 0);
            if let Succession::Promote(best) = choice {
                chosen = best;
            }
            let has_position = candidates
                .iter()
                .any(|candidate| candidate.name == chosen && candidate.received >= Some(position));
            if has_position {
                return CatchUp::Complete(chosen);
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
        CatchUp::Behind(chosen)
    }
}
