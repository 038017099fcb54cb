//! Replaces a primary: by a planned handover where it answers, else behind a fence around it; and the choice
//! of the database that succeeds it. Owns nothing; relies on `fence`, `survey`, `handover` and `appointment`.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::ServingRegions;
use dyketally::failover::{Succession, choose_successor};
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use super::appointment::Appointed;
use super::cause::{Cause, NO_PRIMARY_GRACE};
use super::failover::Failover;
use super::handover::{Behind, Handover, STEP_DOWN_LIMIT};
use super::survey::Survey;
use crate::database::target::Target;
use crate::ports::OwnStatement;

/// How long the databases' positions count as current. Not measured.
const SURVEY_HOLDS: Duration = Duration::from_millis(250);

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
        if self.acknowledging(group) > 0 && !succeeded {
            self.survey(group, cause.old(), OwnStatement::Resume).await;
        }
        succeeded
    }

    /// Has all nodes take `primary` for the leader again, around which a fence stands of a former coordinator's.
    /// It is appointed with this one's token: nothing changes where it leads, and an appointment of another
    /// database that is under way can't take effect any more.
    async fn reinstate(self: &Rc<Self>, group: &GroupName, primary: &Target) -> bool {
        let surveyed = self.survey(group, None, OwnStatement::Status).await;
        match &surveyed.leading {
            Some(leading) if leading.name == primary.name => {
                self.appoint(group, &primary.name).await == Appointed::Leads
            }
            Some(leading) => {
                self.found(group, leading);
                true
            }
            None => false,
        }
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
            Handover::NoReply => self.take_over(group, Some(old), STEP_DOWN_LIMIT).await,
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

    pub(super) fn choose(
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

    pub(super) fn found(&self, group: &GroupName, leading: &Target) {
        self.step(group, "found", format!("{leading:?} leads already"));
        self.leadership.confirmations.acted_as_primary(leading);
    }

    fn acknowledging(&self, group: &GroupName) -> usize {
        let routes = self.cx.routes();
        let limits = routes.groups.get(group);
        limits.map_or(0, |limits| limits.acknowledging_replicas as usize)
    }
}
