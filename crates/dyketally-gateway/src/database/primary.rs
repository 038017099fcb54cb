//! The primary of each group as this node knows it, and whether the primary can be used.

use std::rc::{Rc, Weak};
use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::{Denial, Intent, ServingRegions};
use dyketally::identifiers::{DatabaseName, GroupName};

use super::Databases;
use super::target::Target;

/// How long a database that announces the lead and doesn't answer may be a leader of which this node doesn't know. By then
/// a partition has usually healed, and connections of dead machines have ended; an entry that no database stands behind
/// must not keep a group without a primary for longer.
const CLAIM_VALIDITY: Duration = Duration::from_secs(10);

/// Watches primaries and replaces them; implemented by succession.
pub trait PrimaryWatch {
    /// True while it is uncertain whether the known primary of `group` still leads.
    fn primary_is_unconfirmed(&self, group: &GroupName) -> bool;

    /// Finds out in the background which database leads `group`, as several claim to.
    fn settle_contest(self: Rc<Self>, group: &GroupName);

    /// Probes `target`, which appears unreachable, if it is a primary.
    fn suspect(self: Rc<Self>, target: &Target);

    /// Reports that the primary `target` is probably lost, without probing it.
    fn report_lost(&self, target: &Target);

    /// Checks whether a primary has to be replaced, after databases or evacuations changed.
    fn check_primaries(&self);
}

impl Databases {
    /// Sets the watch, which is created after `Databases` since it depends on it.
    pub fn set_primary_watch(&self, watch: Weak<dyn PrimaryWatch>) {
        *self.primary_watch.borrow_mut() = Some(watch);
    }

    /// The watch; `None` before it is set during start-up and after it is dropped during shutdown.
    pub(super) fn primary_watch(&self) -> Option<Rc<dyn PrimaryWatch>> {
        self.primary_watch.borrow().as_ref()?.upgrade()
    }

    /// The primary of `group`, if it may be sent new statements that must run in `regions`.
    ///
    /// # Errors
    /// The reason why no primary can be used.
    pub fn primary_target(
        &self,
        group: &GroupName,
        regions: &ServingRegions,
    ) -> Result<Target, Denial> {
        let directory = self.directory.borrow();
        let watch = self.primary_watch();
        if directory.is_contested(group)
            && let Some(watch) = &watch
        {
            watch.clone().settle_contest(group);
        }
        let Some(primary) = directory.primary(group) else {
            return Err(self.missing_primary_denial(group));
        };
        // This permission is dropped: each send obtains its own.
        self.check_eligibility(primary, &Intent::first(regions, true))
            .map(drop)?;
        match watch.is_some_and(|watch| watch.primary_is_unconfirmed(group)) {
            true => Err(Denial::BeingReplaced),
            false => Ok(self.target(primary, true)),
        }
    }

    /// The databases of `group` that have announced the lead within [`CLAIM_VALIDITY`], whether or not they have it.
    pub fn recent_claimants(&self, group: &GroupName) -> Vec<Target> {
        let directory = self.directory.borrow();
        let claimants = directory.claimants(group);
        let recent = claimants.filter(|member| {
            let since = member.promoted_at.unwrap_or(member.listed_since);
            self.cx.now().saturating_since(since) < CLAIM_VALIDITY
        });
        recent.map(|member| self.target(member, false)).collect()
    }

    /// The reason why a group without a known primary can't serve.
    fn missing_primary_denial(&self, group: &GroupName) -> Denial {
        let directory = self.directory.borrow();
        let mut ready = directory
            .members(group)
            .filter(|member| member.state == MemberState::Ready)
            .peekable();
        let has_ready = ready.peek().is_some();
        let evacuated = has_ready && ready.all(|it| self.is_evacuated(&it.announcement.zone));
        match evacuated {
            true => Denial::EvacuatedEverywhere,
            false => Denial::Leaderless,
        }
    }

    /// True when this node knows `target` as the primary of its group.
    pub fn is_primary(&self, target: &Target) -> bool {
        self.leads(&target.group, &target.name)
    }

    /// True when this node knows `database` as the primary of `group`.
    pub(super) fn leads(&self, group: &GroupName, database: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        let primary = directory.primary(group);
        primary.is_some_and(|primary| primary.name() == database)
    }

    /// Time since the first attempt that found no usable primary of `group`; `None` while there is one, zero
    /// if there is none but no attempt has failed yet.
    pub fn primary_missing_for(&self, group: &GroupName) -> Option<Duration> {
        let primary = self.primary_target(group, &ServingRegions::anywhere());
        match primary.is_ok_and(|primary| !primary.state.is_suspended()) {
            true => None,
            false => Some(self.group(group).availability.missing_for()),
        }
    }
}
