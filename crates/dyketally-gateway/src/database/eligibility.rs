//! Checks whether a statement may be sent to a database, from this node's current knowledge of the database,
//! its zone and its group; the rules are in [`dyketally::eligibility`]. The check runs when a database is chosen
//! and again immediately before each send.

use dyketally::directory::{Member, MemberState};
use dyketally::eligibility::{
    DatabaseCondition, Denial, EligibilityBounds, Intent, Permission, check_eligibility,
};
use dyketally::identifiers::{DatabaseName, GroupName};

use super::Databases;
use super::target::Target;

impl Databases {
    /// Permission to send a batch to `target` now; `intent` is what the batch requires of the database.
    ///
    /// # Errors
    /// The reason why the batch is not allowed to be sent. Each such denial is counted.
    pub fn permission_to_send(
        &self,
        target: &Target,
        intent: &Intent,
    ) -> Result<Permission, Denial> {
        let directory = self.directory.borrow();
        let result = match directory.member(&target.name) {
            Some(member) => self.check_eligibility(member, intent),
            // A database that has been removed from the directory counts as leaving.
            None => Err(Denial::Leaving),
        };
        result.inspect_err(|denial| self.cx.counters.denied.add(denial.kind(), 1))
    }

    /// Checks whether a batch that requires `intent` may be sent to `member`.
    ///
    /// # Errors
    /// The reason why the batch is not allowed to be sent.
    pub fn check_eligibility(
        &self,
        member: &Member,
        intent: &Intent,
    ) -> Result<Permission, Denial> {
        let now = self.cx.now();
        let announcement = &member.announcement;
        let region = self.region_of_zone(&announcement.zone);
        let evacuations = self.evacuations.borrow();
        let evacuated_for = evacuations.evacuated_for(&announcement.zone, now);
        let leaving_for = member
            .leaving_since
            .map(|since| now.saturating_since(since));
        let has_successor =
            evacuated_for.is_some() && self.has_successor(&announcement.group, member.name());
        let standing = DatabaseCondition {
            database: member.name(),
            region: &region,
            fenced: self.is_member_fenced(member),
            leaving_for,
            evacuated_for,
            has_successor,
        };
        check_eligibility(intent, standing, self.eligibility_bounds())
    }

    /// The lasting reason why statements that require `intent` can't run at any database of `group`: it holds
    /// until the configuration, the evacuated zones or the primary change. `None` if such statements can run now
    /// or soon.
    pub fn lasting_denial(&self, group: &GroupName, intent: &Intent) -> Option<Denial> {
        if intent.needs_leader {
            let denial = self.primary_target(group, &intent.regions).err();
            return denial.filter(|denial| denial.is_lasting());
        }
        let directory = self.directory.borrow();
        let mut lasting = None;
        for member in directory.members(group) {
            match self.check_eligibility(member, intent) {
                Err(denial) if denial.is_lasting() => lasting = Some(denial),
                // Such a member will run no statement soon, so the other members decide.
                Err(Denial::Evacuated | Denial::Leaving) if !self.may_serve(member) => {}
                Ok(_) | Err(_) => return None,
            }
        }
        lasting
    }

    /// True when `member` is ready and its zone isn't evacuated.
    pub(super) fn may_serve(&self, member: &Member) -> bool {
        member.state == MemberState::Ready && !self.is_evacuated(&member.announcement.zone)
    }

    /// True when another database of `group` could take over from `database`.
    pub fn has_successor(&self, group: &GroupName, database: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        let mut members = directory.members(group);
        members.any(|member| member.name() != database && self.may_serve(member))
    }

    /// True when another database of `group` could take over from `database` and is warm, that is, not limited
    /// to a low rate of statements as a cold database is after its start.
    pub fn has_warm_successor(&self, group: &GroupName, database: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        let mut members = directory.members(group);
        members.any(|member| {
            let is_other = member.name() != database;
            is_other && self.may_serve(member) && !self.pacer(member.name()).is_cold()
        })
    }

    fn eligibility_bounds(&self) -> EligibilityBounds {
        let bounds = &self.cx.settings.bounds;
        EligibilityBounds {
            drain: bounds.drain(),
            evacuation: bounds.evacuation(),
        }
    }
}
