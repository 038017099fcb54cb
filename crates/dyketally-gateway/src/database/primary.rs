//! Which database leads a group as far as this node knows, and whether it can be used.

use std::rc::{Rc, Weak};
use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::{Denial, Intent, ServingRegions};
use dyketally::identifiers::{DatabaseName, GroupName};

use super::Databases;
use super::target::Target;

/// What this layer asks of the one that watches primaries and replaces them.
pub trait PrimaryWatch {
    /// True while it isn't certain that the known primary of `group` still leads.
    fn primary_is_unconfirmed(&self, group: &GroupName) -> bool;

    /// Probes `target`, which can't be reached, if it is a primary.
    fn suspect(self: Rc<Self>, target: &Target);

    /// Reports that the primary `target` is probably lost, without probing it.
    fn report(&self, target: &Target);

    /// Looks whether a primary has to be replaced: databases or evacuations changed.
    fn look_at_primaries(&self);
}

impl Databases {
    /// Has primaries watched by `watch`, which is built on this part.
    pub fn watched_by(&self, watch: Weak<dyn PrimaryWatch>) {
        *self.watch.borrow_mut() = Some(watch);
    }

    /// The watch; `None` while the process is put together and once it is taken apart.
    pub(super) fn watch(&self) -> Option<Rc<dyn PrimaryWatch>> {
        self.watch.borrow().as_ref()?.upgrade()
    }

    /// The database that leads `group`, if it may get new work that `regions` bind.
    ///
    /// # Errors
    /// Why there is none.
    pub fn primary_target(
        &self,
        group: &GroupName,
        regions: &ServingRegions,
    ) -> Result<Target, Denial> {
        let directory = self.directory.borrow();
        let Some(primary) = directory.primary(group) else {
            return Err(self.without_primary(group));
        };
        // The permission is obtained anew before something is sent.
        self.judge(primary, &Intent::first(regions, true))
            .map(drop)?;
        let watch = self.watch();
        match watch.is_some_and(|watch| watch.primary_is_unconfirmed(group)) {
            true => Err(Denial::BeingReplaced),
            false => Ok(self.target(primary, true)),
        }
    }

    /// Why a group without a known primary has none.
    fn without_primary(&self, group: &GroupName) -> Denial {
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

    /// True when a database is the leader of its group as far as this node knows.
    pub fn is_primary(&self, target: &Target) -> bool {
        self.leads(&target.group, &target.name)
    }

    pub(super) fn leads(&self, group: &GroupName, database: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        let primary = directory.primary(group);
        primary.is_some_and(|primary| primary.name() == database)
    }

    /// Time since the first of the attempts that found no usable primary of `group`; `None` while it has
    /// one, zero before an attempt failed.
    pub fn primary_missing_for(&self, group: &GroupName) -> Option<Duration> {
        let primary = self.primary_target(group, &ServingRegions::anywhere());
        match primary.is_ok_and(|primary| !primary.state.is_suspended()) {
            true => None,
            false => Some(self.group(group).availability.missing_for()),
        }
    }
}
