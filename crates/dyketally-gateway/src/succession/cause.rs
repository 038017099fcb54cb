//! Whether the primary of a group should be replaced, and why. Relies on what the databases announced, on the
//! configuration, and on suspicions.

use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::ServingRegions;
use dyketally::failover::Verdict;
use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use super::failover::Failover;
use crate::database::target::Target;

/// How long a database that can be reached again may take to announce itself. Not measured.
const LISTED_AGAIN: Duration = Duration::from_secs(2);
/// How much longer a primary must be cold for a handover to pay, which interrupts writes for 1.30 s
/// (median of five planned handovers, promotion of 1 s; decision 0041).
const COLD_WORTH_MOVING: Duration = Duration::from_secs(3);
/// How long a group may be without a known primary before it is given one. Not measured.
pub(super) const NO_PRIMARY_GRACE: Duration = Duration::from_millis(400);

/// Why a primary is replaced.
#[derive(Clone, Debug)]
pub(super) enum Cause {
    /// It announced that it leaves, and can still hand over.
    Leaves(Target),
    /// It no longer announces itself, which may be the store's fault or its path to the store's: it may
    /// lead as before, and should hand over.
    Unlisted(Target),
    /// Its zone is evacuated, and a database elsewhere can take over.
    Evacuated(Target),
    /// More of what may ask for it is served in these regions.
    Misplaced(Target, ServingRegions),
    /// It has just started and bears little load for a while, and a warm replica can take over.
    Cold(Target),
    /// No node reaches it. It was suspected this long ago.
    Lost(Target, Duration),
    /// It leads, but a fence stands around it, and nobody is replacing it.
    Shunned(Target),
    /// No database leads.
    NoPrimary,
}

impl Cause {
    /// The primary that is replaced.
    pub(super) fn old(&self) -> Option<&Target> {
        match self {
            Self::Leaves(old)
            | Self::Unlisted(old)
            | Self::Evacuated(old)
            | Self::Misplaced(old, _)
            | Self::Cold(old)
            | Self::Lost(old, _) => Some(old),
            Self::Shunned(_) | Self::NoPrimary => None,
        }
    }
}

impl Failover {
    /// Why the primary of a group should be replaced now; `None` while it shouldn't. Without a lease that
    /// surely runs a primary is only replaced that is lost: its successor needs no new token while no node
    /// reaches the store.
    pub(super) async fn cause(&self, group: &GroupName) -> Option<Cause> {
        let lease_runs = self.fleet.coordinator.term().is_some();
        let Some((primary, state)) = self.known_primary(group) else {
            return match lease_runs {
                true => self.without_primary(group).await,
                false => None,
            };
        };
        let planned = || self.planned_cause(group, &primary, state);
        if let Some(cause) = lease_runs.then(planned).flatten() {
            return Some(cause);
        }
        let loss = self.loss(group, &primary).await;
        loss.or_else(|| {
            self.is_shunned(group, &primary)
                .then_some(Cause::Shunned(primary))
        })
    }

    /// True when a fence stands around `primary` though this coordinator replaces it by no other database: a
    /// former one may have ended before it could say that the database leads again. Nobody suspects a
    /// primary that answers, so the group would be without one until the fence runs out.
    fn is_shunned(&self, group: &GroupName, primary: &Target) -> bool {
        let appointments = self.appointments.borrow();
        let replaced = appointments
            .last(group)
            .is_some_and(|it| it != &primary.name);
        self.fleet.coordinator.term().is_some()
            && !replaced
            && self.databases.is_fenced(&primary.name)
    }

    fn known_primary(&self, group: &GroupName) -> Option<(Target, MemberState)> {
        let directory = self.databases.directory.borrow();
        let primary = directory.primary(group)?;
        Some((self.databases.target(primary, true), primary.state))
    }

    /// Why a primary should hand over; the most urgent reason.
    fn planned_cause(
        &self,
        group: &GroupName,
        primary: &Target,
        state: MemberState,
    ) -> Option<Cause> {
        let old = || primary.clone();
        match state {
            MemberState::Draining => return Some(Cause::Leaves(old())),
            MemberState::Gone if !self.may_be_listed_again(group) => {
                return Some(Cause::Unlisted(old()));
            }
            _ => {}
        }
        if self.databases.is_evacuated(&primary.zone)
            && self.databases.has_successor(group, &primary.name)
        {
            return Some(Cause::Evacuated(old()));
        }
        if let Some(regions) = self.better_regions(group, primary) {
            return Some(Cause::Misplaced(old(), regions));
        }
        self.is_cold_without_need(group, primary)
            .then(|| Cause::Cold(old()))
    }

    /// The loss of a primary that some node suspects, if it is lost by the verdict of the nodes.
    async fn loss(&self, group: &GroupName, primary: &Target) -> Option<Cause> {
        let key = (group.clone(), primary.name.clone());
        let suspicions = &self.fleet.coordinator.suspicions;
        let since = suspicions.borrow().get(&key).copied()?;
        match self.verdict(primary, since).await {
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

    /// True shortly after a fence couldn't be closed: some node reaches the primary, so a cut may just
    /// have healed, and the primary announces itself again.
    fn may_be_listed_again(&self, group: &GroupName) -> bool {
        let unclosed = self.unclosed.borrow();
        unclosed
            .get(group)
            .is_some_and(|at| at.elapsed() < LISTED_AGAIN)
    }

    /// Where the group should be led from rather than by `primary`, if it is time to move it.
    fn better_regions(&self, group: &GroupName, primary: &Target) -> Option<ServingRegions> {
        let regions = self.databases.preferred_regions(primary)?;
        let now = self.cx.now();
        let may_begin = self.moves.borrow().may_begin(group, now);
        may_begin.then_some(regions)
    }

    /// True when `primary` will be cold for so long that a handover to a warm replica pays, and it is time
    /// to move it. Where regions are bound the place of the primary goes first.
    fn is_cold_without_need(&self, group: &GroupName, primary: &Target) -> bool {
        let cold_for = self.databases.pacer(&primary.name).announced_cold_for();
        cold_for >= COLD_WORTH_MOVING
            && !self.cx.routes().binds_regions()
            && self.databases.has_warm_successor(group, &primary.name)
            && self.moves.borrow().may_begin(group, self.cx.now())
    }

    /// Searches for a primary; a cause of its own if none is found in time.
    async fn without_primary(&self, group: &GroupName) -> Option<Cause> {
        let until = Instant::now() + NO_PRIMARY_GRACE;
        while Instant::now() < until {
            self.leadership.confirmations.search_primary(group);
            self.cx.changes.next(until).await;
            if self.known_primary(group).is_some() {
                return None;
            }
        }
        // What is missing may only not have announced itself yet.
        self.databases
            .directory_is_settled()
            .then_some(Cause::NoPrimary)
    }
}
