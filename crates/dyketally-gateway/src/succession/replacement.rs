//! Replaces a primary: a planned handover where it answers, else a fence around it; and the choice of
//! the database that succeeds it.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::ServingRegions;
use dyketally::failover::{Candidate, Succession, choose_successor, keep_warm};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use crate::database::target::Target;
use crate::ports::OwnStatement;
use crate::succession::appointment::Appointed;
use crate::succession::cause::{Cause, NO_PRIMARY_GRACE};
use crate::succession::failover::{Failover, RETRY_PAUSE};
use crate::succession::survey::{STATUS_LIMIT, Survey};

/// How long the databases' positions count as current. Not measured.
const SURVEY_HOLDS: Duration = Duration::from_millis(250);
/// How long a primary that should hand over is asked to. Not measured.
const STEP_DOWN_LIMIT: Duration = Duration::from_millis(1_200);
/// How long a planned handover waits for the successor's log. Not measured.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a planned handover waits for a warm successor's log before it takes one that has just
/// started: half of the time that it has. Not measured.
const WARM_CATCH_UP_LIMIT: Duration = Duration::from_millis(750);
/// Pause between two looks at the successor's log. Not measured.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

impl Failover {
    /// Gives the group another primary; true when it leads.
    pub(super) async fn replace(self: &Rc<Self>, group: &GroupName, cause: &Cause) -> bool {
        let succeeded = match cause {
            Cause::Leaves(old) | Cause::Unlisted(old) => {
                let anywhere = ServingRegions::anywhere();
                match self.hand_over(group, old, &anywhere, Behind::Promote).await {
                    Handover::Leads => true,
                    Handover::PutOff | Handover::Failed => false,
                    // It doesn't answer, so it is replaced like one that is lost.
                    Handover::Unheard => self.take_over(group, Some(old), STEP_DOWN_LIMIT).await,
                }
            }
            Cause::Evacuated(old) => self.evacuate(group, old).await,
            Cause::Misplaced(old, regions) => self.move_lead(group, old, regions).await,
            Cause::Cold(old) => {
                let anywhere = ServingRegions::anywhere();
                self.move_lead(group, old, &anywhere).await
            }
            Cause::Lost(old, suspected) => self.take_over(group, Some(old), *suspected).await,
            Cause::NoPrimary => self.take_over(group, None, NO_PRIMARY_GRACE).await,
        };
        if self.acknowledging(group) > 0 && !succeeded {
            self.survey(group, cause.old(), OwnStatement::Resume).await;
        }
        succeeded
    }

    /// Moves the lead to `regions` without need, so not while no replica there keeps up.
    async fn move_lead(
        self: &Rc<Self>,
        group: &GroupName,
        old: &Target,
        regions: &ServingRegions,
    ) -> bool {
        let now = self.cx.now();
        self.moves.borrow_mut().begun(group, now);
        let handover = self.hand_over(group, old, regions, Behind::Return).await;
        if handover == Handover::PutOff {
            let now = self.cx.now();
            self.moves.borrow_mut().put_off(group, now);
        }
        handover == Handover::Leads
    }

    /// Moves the lead out of an evacuated zone.
    async fn evacuate(self: &Rc<Self>, group: &GroupName, old: &Target) -> bool {
        let regions = self.databases.successor_regions(old);
        let mut handover = self.hand_over(group, old, &regions, Behind::Return).await;
        if handover == Handover::PutOff && !regions.is_anywhere() {
            let anywhere = ServingRegions::anywhere();
            handover = self.hand_over(group, old, &anywhere, Behind::Return).await;
        }
        match handover {
            Handover::Leads => true,
            Handover::PutOff | Handover::Failed => false,
            Handover::Unheard => self.take_over(group, Some(old), STEP_DOWN_LIMIT).await,
        }
    }

    /// Has the old primary step down, and the database in `regions` succeed it that has its whole log.
    async fn hand_over(
        self: &Rc<Self>,
        group: &GroupName,
        old: &Target,
        regions: &ServingRegions,
        behind: Behind,
    ) -> Handover {
        let mut surveyed = self.survey(group, Some(old), OwnStatement::Status).await;
        self.restrict(&mut surveyed.candidates, regions);
        if let Some(leading) = &surveyed.leading {
            self.found(group, leading);
            return Handover::Leads;
        }
        let Some(successor) = self.choose(group, Some(old), &surveyed) else {
            return Handover::PutOff;
        };
        if behind == Behind::Return && self.lags(group, old, &successor, regions).await {
            self.step(group, "put off", "no replica keeps up".to_owned());
            return Handover::PutOff;
        }
        // Nobody could be appointed without a token, nor the old primary again.
        if behind == Behind::Return && self.token_for(group, &successor).await.is_none() {
            self.step(
                group,
                "put off",
                "the coordinator's lease could not be renewed".to_owned(),
            );
            return Handover::PutOff;
        }
        let Some(position) = self.step_down(old, surveyed.newest_term + 1).await else {
            return Handover::Unheard;
        };
        let caught_up = self.caught_up(group, old, position, successor, regions);
        let successor = match (caught_up.await, behind) {
            (CaughtUp::Whole(successor), _) => successor,
            (CaughtUp::Behind(successor), Behind::Promote) => successor,
            (CaughtUp::Behind(_), Behind::Return) => old.name.clone(),
        };
        match self.appoint(group, &successor).await {
            Appointed::Leads if successor == old.name => Handover::Failed,
            Appointed::Leads => Handover::Leads,
            Appointed::Perhaps | Appointed::Never => Handover::Failed,
        }
    }

    /// Replaces a primary that can't be asked to hand over, which was suspected `suspected` ago; or
    /// gives a group a primary of which none is known.
    async fn take_over(
        self: &Rc<Self>,
        group: &GroupName,
        old: Option<&Target>,
        suspected: Duration,
    ) -> bool {
        let Some((surveyed, fenced)) = self.fence_and_survey(group, old, suspected).await else {
            self.leave_unclosed(group);
            return false;
        };
        let appointed = match &surveyed.leading {
            Some(leading) => {
                self.found(group, leading);
                Appointed::Leads
            }
            None => self.appoint_best(group, old, surveyed).await,
        };
        // While an appointment may yet take effect the fences stand until they run out.
        if appointed == Appointed::Never {
            fenced
                .iter()
                .for_each(|database| self.fences.lift(database));
        }
        appointed == Appointed::Leads
    }

    async fn appoint_best(
        self: &Rc<Self>,
        group: &GroupName,
        old: Option<&Target>,
        mut surveyed: Survey,
    ) -> Appointed {
        if self.acknowledging(group) > 0 {
            let term = surveyed.newest_term + 1;
            let suspend = OwnStatement::Suspend { term };
            surveyed = self.survey(group, old, suspend).await;
        }
        match self.choose(group, old, &surveyed) {
            Some(successor) => self.appoint(group, &successor).await,
            None => Appointed::Never,
        }
    }

    /// Has all nodes stop using the old primary, or where none is known those databases that can't
    /// be asked; and asks the others for their status. `None` when some node may still use one.
    async fn fence_and_survey(
        self: &Rc<Self>,
        group: &GroupName,
        old: Option<&Target>,
        suspected: Duration,
    ) -> Option<(Survey, Vec<DatabaseName>)> {
        let survey = || self.survey(group, old, OwnStatement::Status);
        let began = Instant::now();
        let Some(old) = old else {
            let surveyed = survey().await;
            let silent = surveyed.silent();
            let closed = self.close_fences(group, &silent, suspected).await;
            return closed.then_some((surveyed, silent));
        };
        let fenced = vec![old.name.clone()];
        let closing = self.close_fences(group, &fenced, suspected);
        let (closed, surveyed) = futures::join!(closing, survey());
        if !closed {
            return None;
        }
        // While the fence was closed slowly the replicas may have received more.
        match began.elapsed() < SURVEY_HOLDS {
            true => Some((surveyed, fenced)),
            false => Some((survey().await, fenced)),
        }
    }

    /// Closes a fence around each of `databases`, or around none of them.
    async fn close_fences(
        &self,
        group: &GroupName,
        databases: &[DatabaseName],
        suspected: Duration,
    ) -> bool {
        for (index, database) in databases.iter().enumerate() {
            if !self.fences.close(group, database, suspected).await {
                let closed = databases[..index].iter();
                closed.for_each(|database| self.fences.lift(database));
                return false;
            }
        }
        true
    }

    fn choose(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        surveyed: &Survey,
    ) -> Option<DatabaseName> {
        let replicas = self.replica_count(group, old);
        let acknowledging = self.acknowledging(group);
        match choose_successor(&surveyed.candidates, replicas, acknowledging) {
            Succession::Promote(successor) => Some(successor),
            choice => {
                self.step(group, "no successor", format!("{choice:?}"));
                None
            }
        }
    }

    fn found(&self, group: &GroupName, leading: &Target) {
        self.step(group, "found", format!("{leading:?} leads already"));
        self.leadership.confirmations.acted_as_primary(leading);
    }

    fn acknowledging(&self, group: &GroupName) -> usize {
        let routes = self.cx.routes();
        let limits = routes.groups.get(group);
        limits.map_or(0, |limits| limits.acknowledging_replicas as usize)
    }

    /// Takes the lead from `old`, so that its log ends; the end of that log. Goes by way of another
    /// node if this one doesn't reach it.
    async fn step_down(&self, old: &Target, term: u64) -> Option<LogPosition> {
        let until = Instant::now() + STEP_DOWN_LIMIT;
        while Instant::now() < until {
            let statement = OwnStatement::StepDown { term };
            let status = self
                .leadership
                .statements
                .ask_status(old, statement, STATUS_LIMIT)
                .await;
            self.step(&old.group, "step down", format!("{old:?}: {status:?}"));
            if let Some(status) = status {
                return Some(status.received);
            }
            self.leadership.suspicions.find_forwarder(old);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// True when no ready database receives within [`CATCH_UP_LIMIT`] what `old` holds now: to have it
    /// step down would end its work with no database to go on. A primary that doesn't reply isn't waited for.
    async fn lags(
        &self,
        group: &GroupName,
        old: &Target,
        successor: &DatabaseName,
        regions: &ServingRegions,
    ) -> bool {
        let status = OwnStatement::Status;
        let Some(status) = self
            .leadership
            .statements
            .ask_status(old, status, STATUS_LIMIT)
            .await
        else {
            return false;
        };
        let caught_up = self.caught_up(group, old, status.received, successor.clone(), regions);
        matches!(caught_up.await, CaughtUp::Behind(_))
    }

    /// Waits until a ready database has received `position`; the first that has is chosen.
    async fn caught_up(
        &self,
        group: &GroupName,
        old: &Target,
        position: LogPosition,
        chosen: DatabaseName,
        regions: &ServingRegions,
    ) -> CaughtUp {
        let began = Instant::now();
        let until = began + CATCH_UP_LIMIT;
        let mut chosen = chosen;
        while Instant::now() < until {
            // Looks are too frequent for the log.
            let mut survey = self.statuses(group, Some(old), OwnStatement::Status).await;
            self.restrict(&mut survey.candidates, regions);
            let mut candidates: Vec<Candidate> = survey
                .candidates
                .into_iter()
                .filter(|candidate| candidate.ready)
                .collect();
            if began.elapsed() < WARM_CATCH_UP_LIMIT {
                keep_warm(&mut candidates);
            }
            let choice = choose_successor(&candidates, candidates.len(), 0);
            if let Succession::Promote(best) = choice {
                chosen = best;
            }
            let holds = candidates
                .iter()
                .any(|candidate| candidate.name == chosen && candidate.received >= Some(position));
            if holds {
                return CaughtUp::Whole(chosen);
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
        CaughtUp::Behind(chosen)
    }
}

/// What to do with a primary that stepped down when no other database has its whole log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behind {
    /// It is about to end, so the best of the others leads without the rest of the log.
    Promote,
    /// It runs on, so it leads again.
    Return,
}

/// The database that is to succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CaughtUp {
    /// It has the whole log.
    Whole(DatabaseName),
    /// It lacks some of it, as all others do.
    Behind(DatabaseName),
}

/// What became of a planned handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handover {
    /// Another database leads.
    Leads,
    /// Nothing was done, as no database could succeed.
    PutOff,
    /// None could be appointed.
    Failed,
    /// The old primary didn't say that it stepped down, and may go on.
    Unheard,
}
