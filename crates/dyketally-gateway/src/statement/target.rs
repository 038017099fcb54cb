//! Databases as statements are sent to them.

use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::{Member, MemberState};
use dyketally::eligibility::{Denial, Intent, ServingRegions};
use dyketally::identifiers::GroupName;
use dyketally::placement::Distance;
use tokio::time::Instant;

use crate::database::target::Target;
use crate::decision::choose;
use crate::gateway::Gateway;

/// How often a group without a known primary is searched for one.
const SEARCH_INTERVAL: Duration = Duration::from_millis(120);

impl Gateway {
    /// The database that leads `group`, if it may get new work that `regions` bind.
    ///
    /// # Errors
    /// Why there is none.
    pub fn primary_target(
        &self,
        group: &GroupName,
        regions: &ServingRegions,
    ) -> Result<Target, Denial> {
        let directory = self.databases.directory.borrow();
        let Some(primary) = directory.primary(group) else {
            return Err(self.without_primary(group));
        };
        let permission = self.judge(primary, &Intent::first(regions, true))?;
        // Whoever sends asks again.
        drop(permission);
        match self.is_unclear(group) {
            true => Err(Denial::BeingReplaced),
            false => Ok(self.target(primary, true)),
        }
    }

    /// Why a group without a known primary has none.
    fn without_primary(&self, group: &GroupName) -> Denial {
        let directory = self.databases.directory.borrow();
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

    /// The database that leads `group`, as soon as one is known that may get work which `regions`
    /// bind, by `until` at the latest.
    ///
    /// # Errors
    /// Why there is none; at once if waiting won't help.
    pub async fn primary_by(
        self: &Rc<Self>,
        group: &GroupName,
        regions: &ServingRegions,
        until: Instant,
    ) -> Result<Target, Denial> {
        loop {
            let denial = match self.primary_target(group, regions) {
                Ok(target) => return Ok(target),
                Err(denial) => denial,
            };
            if denial.is_lasting() || Instant::now() >= until {
                return Err(denial);
            }
            self.search_primary(group);
            let pause = (Instant::now() + SEARCH_INTERVAL).min(until);
            self.cx.changes.next(pause).await;
        }
    }

    /// A member as a target.
    pub fn target(&self, member: &Member, leads: bool) -> Target {
        let announcement = &member.announcement;
        let expected_ms = choose::expected_latency_ms(self.distance(member));
        let state = self.database(
            &announcement.database,
            &announcement.group,
            announcement.address,
            expected_ms,
        );
        Target {
            name: announcement.database.clone(),
            group: announcement.group.clone(),
            zone: announcement.zone.clone(),
            state,
            leads,
        }
    }

    /// How far a member is from this node.
    pub fn distance(&self, member: &Member) -> Distance {
        let place = self.cx.settings.locality(&member.announcement.zone);
        Distance::between(&self.cx.settings.own_locality(), &place)
    }
}
