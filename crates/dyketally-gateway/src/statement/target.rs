//! Which databases may serve a statement, best first.

use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::{Member, MemberState};
use dyketally::eligibility::{Denial, Intent, ServingRegions};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::placement::Distance;
use tokio::time::Instant;

use crate::database::target::Target;
use crate::gateway::Gateway;

/// Added to the estimate of a database in another region, whose traffic is dear.
const REGION_PENALTY_MS: f64 = 25.0;
/// Added to the estimate of a replica that probably lacks what a read needs: the time that asking it in
/// vain takes.
const LAGGING_PENALTY_MS: f64 = 120.0;
/// Added to the estimate of a database that has just started: more than any wait at a warm one, less than
/// what a database costs that doesn't answer.
const COLD_PENALTY_MS: f64 = 5_000.0;
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

    /// The databases that may serve a read that `regions` bind and whose log must hold `needed`, best
    /// first.
    pub fn read_targets(
        &self,
        group: &GroupName,
        regions: &ServingRegions,
        needed: Option<LogPosition>,
    ) -> Vec<Target> {
        let directory = self.databases.directory.borrow();
        let primary = directory
            .primary(group)
            .map(|primary| primary.name().clone());
        let intent = Intent::first(regions, false);
        let ready = directory
            .members(group)
            .filter(|member| self.judge(member, &intent).is_ok());
        let is_too_new = self.databases.age_of(group, needed)
            < self.databases.replica_lag.get().value(self.cx.now());
        let mut ranked: Vec<(f64, Target)> = ready
            .map(|member| {
                let leads = primary.as_ref() == Some(member.name());
                let target = self.target(member, leads);
                let lagging = is_too_new && !leads;
                let penalty = if lagging { LAGGING_PENALTY_MS } else { 0.0 };
                (self.rank(member, &target, needed) + penalty, target)
            })
            .collect();
        ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
        let behind = |target: &Target| {
            !target.leads && needed.is_some_and(|needed| target.state.is_behind(needed))
        };
        // To ask a replica that is behind is of use only while nothing else can be asked.
        let has_primary = ranked.iter().any(|(_, target)| target.leads);
        ranked.retain(|(_, target)| !has_primary || !behind(target));
        ranked.into_iter().map(|(_, target)| target).collect()
    }

    /// True when some database that wasn't tried may serve a read as well.
    pub fn has_untried(
        &self,
        group: &GroupName,
        regions: &ServingRegions,
        needed: Option<LogPosition>,
        tried: &[DatabaseName],
    ) -> bool {
        let targets = self.read_targets(group, regions, needed);
        let usable = |target: &Target| {
            let behind = needed.is_some_and(|needed| target.state.is_behind(needed));
            !tried.contains(&target.name) && !behind && !target.state.is_suspended()
        };
        targets.iter().any(usable)
    }

    /// The best database that wasn't tried; once all were, the best of all, and `tried` begins anew.
    pub fn first_untried(
        &self,
        group: &GroupName,
        regions: &ServingRegions,
        needed: Option<LogPosition>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<Target> {
        let targets = self.read_targets(group, regions, needed);
        let untried = targets.iter().find(|target| !tried.contains(&target.name));
        if let Some(untried) = untried {
            return Some(untried.clone());
        }
        tried.clear();
        targets.into_iter().next()
    }

    fn rank(&self, member: &Member, target: &Target, needed: Option<LogPosition>) -> f64 {
        let expected = self.expected_latency(member);
        let mut rank = target
            .state
            .latency_estimate(expected, member.announcement.slots);
        if target.leads {
            rank += self.cx.settings.reads.primary_penalty_ms;
        }
        if self.distance(member) == Distance::OtherRegion {
            rank += REGION_PENALTY_MS;
        }
        if !target.leads && needed.is_some_and(|needed| target.state.is_behind(needed)) {
            rank += 1_000.0;
        }
        if !self.draws(target) {
            rank += COLD_PENALTY_MS;
        }
        if target.state.is_suspended() {
            rank += 10_000.0;
        }
        rank
    }

    /// Whether a read may go to `target` before warm databases: not while it is cold, and then more and
    /// more often.
    fn draws(&self, target: &Target) -> bool {
        let share = self.databases.loading(&target.name).share();
        share >= 1.0 || rand::random_bool(share)
    }

    /// A member as a target.
    pub fn target(&self, member: &Member, leads: bool) -> Target {
        let announcement = &member.announcement;
        let expected = self.expected_latency(member);
        let state = self.database(
            &announcement.database,
            &announcement.group,
            announcement.address,
            expected,
        );
        Target {
            name: announcement.database.clone(),
            group: announcement.group.clone(),
            zone: announcement.zone.clone(),
            state,
            leads,
        }
    }

    fn expected_latency(&self, member: &Member) -> f64 {
        match self.distance(member) {
            Distance::SameZone => 20.0,
            Distance::SameRegion => 23.0,
            Distance::OtherRegion => 55.0,
        }
    }

    /// How far a member is from this node.
    pub fn distance(&self, member: &Member) -> Distance {
        let place = self.cx.settings.locality(&member.announcement.zone);
        Distance::between(&self.cx.settings.own_locality(), &place)
    }
}
