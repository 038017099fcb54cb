//! Which databases may serve a statement, best first.

use dyketally::directory::Member;
use dyketally::eligibility::{Intent, ServingRegions};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::placement::Distance;

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
impl Gateway {
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
            .filter(|member| self.databases.judge(member, &intent).is_ok());
        let is_too_new = self.databases.age_of(group, needed)
            < self.databases.replica_lag.get().value(self.cx.now());
        let mut ranked: Vec<(f64, Target)> = ready
            .map(|member| {
                let leads = primary.as_ref() == Some(member.name());
                let target = self.databases.target(member, leads);
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
        let expected = self.databases.expected_latency_ms(member);
        let mut rank = target
            .state
            .latency_estimate(expected, member.announcement.slots);
        if target.leads {
            rank += self.cx.settings.reads.primary_penalty_ms;
        }
        if self.databases.distance(member) == Distance::OtherRegion {
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
        let share = self.databases.pacer(&target.name).share();
        share >= 1.0 || rand::random_bool(share)
    }
}
