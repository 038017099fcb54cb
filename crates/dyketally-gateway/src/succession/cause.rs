//! Decides whether the primary of a group should be replaced, and for which cause.
//!
//! Relies on the databases' announcements, on the configuration, and on the suspicions that nodes reported.

use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::ServingRegions;
use dyketally::failover::{PrimaryCondition, Verdict, needs_check};
use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use super::failover::Failover;
use crate::database::target::Target;

/// How long a database that is reachable again may take to announce itself in the store.
const REANNOUNCE_GRACE: Duration = Duration::from_secs(2);
/// Remaining cold time from which on a primary is handed over to a warm replica. A planned handover
/// interrupts writes for 1.30 s (median, with promotions of 1 s; decision 0041), so a shorter cold time
/// doesn't justify it.
const COLD_TIME_FOR_HANDOVER: Duration = Duration::from_secs(3);
/// How long a group may be without a known primary before the coordinator appoints one.
pub(super) const NO_PRIMARY_GRACE: Duration = Duration::from_millis(400);

/// Why a primary is replaced. The log's `failover_step` shows the variants by name.
#[derive(Clone, Debug)]
pub(super) enum Cause {
    /// The primary announced that it leaves, and can still hand over.
    Leaves(Target),
    /// The primary no longer announces itself. The store or its path to the store may have failed, so the
    /// primary may still lead and is asked to hand over.
    Unlisted(Target),
    /// The primary's zone is evacuated, and a database elsewhere can take over.
    Evacuated(Target),
    /// More of the group's routes and tenants may be served by a primary in these regions.
    Misplaced(Target, ServingRegions),
    /// The primary has just started and stays at its slow-start rate for a while; a warm replica can take over.
    Cold(Target),
    /// No node reaches the primary, which was first suspected this long ago.
    Lost(Target, Duration),
    /// A fence holds for the primary, and no coordinator is replacing it.
    Shunned(Target),
    /// No database leads.
    NoPrimary,
}

impl Failover {
    /// False when there is certainly no cause to replace the primary of a group. With a thousand groups nearly all are
    /// like that, and a task and a connection pool for each of them at each check would take most of the coordinator's
    /// share of a processor.
    pub(super) fn needs_check(&self, group: &GroupName) -> bool {
        let directory = self.databases.directory.borrow();
        let Some(primary) = directory.primary(group) else {
            return true;
        };
        let suspicions = self.fleet.coordinator.suspicions.borrow();
        needs_check(&PrimaryCondition {
            is_ready: primary.state == MemberState::Ready,
            is_suspected: suspicions.contains_key(&(group.clone(), primary.name().clone())),
            is_fenced: self.databases.is_fenced(primary.name()),
            is_evacuated: self.databases.is_evacuated(&primary.announcement.zone),
            is_cold: self.databases.pacer(primary.name()).is_cold(),
            regions_bind: self.cx.routes().binds_regions(),
        })
    }

    /// Why the primary of a group should be replaced now; `None` while it shouldn't be. While the
    /// coordinator's lease may have ended, only a lost primary is replaced: its successor needs no new
    /// fencing token as long as no node reaches the store.
    pub(super) async fn cause(&self, group: &GroupName) -> Option<Cause> {
        let lease_runs = self.fleet.coordinator.term().is_some();
        let Some((primary, state)) = self.known_primary(group) else {
            if !lease_runs {
                return None;
            }
            // Nothing confirms a database for which a fence holds.
            let unconfirmed = self.unconfirmed_primary(group);
            return match unconfirmed.filter(|primary| self.is_shunned(primary)) {
                Some(primary) => Some(Cause::Shunned(primary)),
                None => self.cause_without_primary(group).await,
            };
        };
        let planned = || self.planned_cause(group, &primary, state);
        if let Some(cause) = lease_runs.then(planned).flatten() {
            return Some(cause);
        }
        let confirmed_loss = self.confirmed_loss(group, &primary).await;
        confirmed_loss.or_else(|| self.is_shunned(&primary).then_some(Cause::Shunned(primary)))
    }

    /// True when a fence holds for `primary` although no replacement runs: a former coordinator may have ended before
    /// it could clear the fence, or a lost primary returned under another name and its successor never led. Since no
    /// node suspects a primary that answers, the group would otherwise have no usable primary until the fence expires.
    fn is_shunned(&self, primary: &Target) -> bool {
        self.fleet.coordinator.term().is_some() && self.databases.is_fenced(&primary.name)
    }

    fn unconfirmed_primary(&self, group: &GroupName) -> Option<Target> {
        let directory = self.databases.directory.borrow();
        let primary = directory.unconfirmed_primary(group)?;
        Some(self.databases.target(primary, false))
    }

    pub(super) fn known_primary(&self, group: &GroupName) -> Option<(Target, MemberState)> {
        let directory = self.databases.directory.borrow();
        let primary = directory.primary(group)?;
        Some((self.databases.target(primary, true), primary.state))
    }

    /// The most urgent cause for a planned handover from `primary`, if there is one.
    fn planned_cause(
        &self,
        group: &GroupName,
        primary: &Target,
        state: MemberState,
    ) -> Option<Cause> {
        let old = || primary.clone();
        match state {
            MemberState::Draining => return Some(Cause::Leaves(old())),
            MemberState::Gone if !self.may_reannounce(group) => {
                return Some(Cause::Unlisted(old()));
            }
            _ => {}
        }
        if self.databases.is_evacuated(&primary.zone)
            && self.databases.has_successor(group, &primary.name)
        {
            return Some(Cause::Evacuated(old()));
        }
        if let Some(regions) = self.regions_to_move_to(group, primary) {
            return Some(Cause::Misplaced(old(), regions));
        }
        self.should_replace_cold(group, primary)
            .then(|| Cause::Cold(old()))
    }

    /// Polls the nodes on a primary that some node suspects; a cause when they agree that it is lost.
    async fn confirmed_loss(&self, group: &GroupName, primary: &Target) -> Option<Cause> {
        let key = (group.clone(), primary.name.clone());
        let suspicions = &self.fleet.coordinator.suspicions;
        let since = suspicions.borrow().get(&key).copied()?;
        match self.poll_nodes(primary, since).await {
            Verdict::Alive => {
                suspicions.borrow_mut().remove(&key);
                None
            }
            Verdict::Undecided => None,
            Verdict::Lost => {
                suspicions.borrow_mut().remove(&key);
                Some(Cause::Lost(primary.clone(), since.elapsed()))
            }
        }
    }

    /// True for [`REANNOUNCE_GRACE`] after a fence around the primary couldn't be closed. Some node then
    /// reaches the primary, so a network partition may just have healed, and the primary is about to
    /// announce itself again.
    fn may_reannounce(&self, group: &GroupName) -> bool {
        let unclosed_fences = self.unclosed_fences.borrow();
        unclosed_fences
            .get(group)
            .is_some_and(|at| at.elapsed() < REANNOUNCE_GRACE)
    }

    /// The regions in which the group should be led rather than by `primary`, if its lead may be moved now.
    fn regions_to_move_to(&self, group: &GroupName, primary: &Target) -> Option<ServingRegions> {
        let regions = self.databases.preferred_regions(primary)?;
        let now = self.cx.now();
        let may_begin = self.moves.borrow().may_move(group, now);
        may_begin.then_some(regions)
    }

    /// True when `primary` stays cold for at least [`COLD_TIME_FOR_HANDOVER`], a warm replica can take over,
    /// and the lead may be moved now. Where routes or tenants are bound to regions, the region of the primary
    /// matters more than its warmth.
    fn should_replace_cold(&self, group: &GroupName, primary: &Target) -> bool {
        let cold_for = self.databases.pacer(&primary.name).announced_cold_for();
        cold_for >= COLD_TIME_FOR_HANDOVER
            && !self.cx.routes().binds_regions()
            && self.databases.has_warm_successor(group, &primary.name)
            && self.moves.borrow().may_move(group, self.cx.now())
    }

    /// Searches for a primary; [`Cause::NoPrimary`] if none is found within [`NO_PRIMARY_GRACE`].
    async fn cause_without_primary(&self, group: &GroupName) -> Option<Cause> {
        let until = Instant::now() + NO_PRIMARY_GRACE;
        while Instant::now() < until {
            self.leadership.confirmations.search_primary(group);
            self.cx.changes.next(until).await;
            if self.known_primary(group).is_some() {
                return None;
            }
        }
        // Before the directory is settled, a primary that runs may just not have announced itself yet.
        self.databases
            .directory_is_settled()
            .then_some(Cause::NoPrimary)
    }
}
