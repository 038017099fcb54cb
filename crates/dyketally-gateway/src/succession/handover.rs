//! A planned handover: the old primary steps down, and a database that has its whole log succeeds it.
//!
//! Owns nothing; relies on surveys for the databases' logs and on `appointment` for the successor.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::ServingRegions;
use dyketally::failover::{Candidate, Succession, choose_successor, keep_warm};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use super::appointment::Appointed;
use super::failover::{Failover, RETRY_PAUSE};
use super::survey::STATUS_LIMIT;
use crate::database::target::Target;
use crate::ports::OwnStatement;

/// How long a primary that should hand over is asked to. Not measured.
pub(super) const STEP_DOWN_LIMIT: Duration = Duration::from_millis(1_200);
/// How long a planned handover waits for the successor's log. Not measured.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a planned handover waits for a warm successor's log before it takes one that has just
/// started: half of the time that it has. Not measured.
const WARM_CATCH_UP_LIMIT: Duration = Duration::from_millis(750);
/// Pause between two looks at the successor's log. Not measured.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

/// What to do with a primary that stepped down when no other database has its whole log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Behind {
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
pub(super) enum Handover {
    /// Another database leads.
    Leads,
    /// Nothing was done, as no database could succeed.
    PutOff,
    /// None could be appointed.
    Failed,
    /// The old primary didn't say that it stepped down, and may go on.
    NoReply,
}

impl Failover {
    /// Has the old primary step down, and the database in `regions` succeed it that has its whole log.
    pub(super) async fn hand_over(
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
            return Handover::NoReply;
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
