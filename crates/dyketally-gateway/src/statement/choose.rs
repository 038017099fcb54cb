//! Chooses the database for a statement, by the rules in [`crate::decision::choose`].
//!
//! Collects the inputs of the rules: the group's databases in the directory, what this node has observed of
//! them, and the position that the statement needs.

use std::rc::Rc;

use dyketally::directory::Member;
use dyketally::eligibility::Intent;
use dyketally::freshness::FreshnessNeed;
use dyketally::group::LogPosition;
use dyketally::identifiers::DatabaseName;
use tokio::time::Instant;

use crate::database::target::Target;
use crate::decision::Operation;
use crate::decision::choose::{
    self, Candidate, FreshnessCheck, NextStep, RankingInputs, Selection,
};
use crate::decision::retry::RETRY_PAUSE;
use crate::statement::Statements;
use crate::statement::request::Request;

/// The database chosen for a statement.
pub(super) struct ChosenDatabase {
    /// The database.
    pub(super) target: Target,
    /// What the database checks before it runs the statement, so that the answer is fresh enough.
    pub(super) check: FreshnessCheck,
}

impl ChosenDatabase {
    fn leads(target: Target) -> Self {
        Self {
            target,
            check: FreshnessCheck::Leads,
        }
    }
}

impl Statements {
    /// Chooses a database for a read or for the first statement of a transaction. `need` tells which commits it
    /// has to see; with `None` it needs the primary. Adds the database to `tried`; once all were tried, the
    /// list starts over.
    pub(super) async fn choose(
        self: &Rc<Self>,
        request: &Request,
        operation: Operation,
        need: Option<FreshnessNeed>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<ChosenDatabase> {
        let choice = match need {
            Some(need) => self.choose_fresh(request, operation, need, tried).await?,
            None => self.choose_primary(request, operation).await?,
        };
        tried.push(choice.target.name.clone());
        Some(choice)
    }

    async fn choose_primary(
        self: &Rc<Self>,
        request: &Request,
        operation: Operation,
    ) -> Option<ChosenDatabase> {
        if operation == Operation::Read {
            self.cx.counters.reads_bound_to_primaries.add();
        }
        let until = request.latest_start().min(Instant::now() + RETRY_PAUSE);
        let primary = self.leadership.confirmations.wait_for_primary(
            &request.route.group,
            &request.regions,
            until,
        );
        primary.await.ok().map(ChosenDatabase::leads)
    }

    async fn choose_fresh(
        self: &Rc<Self>,
        request: &Request,
        operation: Operation,
        need: FreshnessNeed,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<ChosenDatabase> {
        let group = &request.route.group;
        let known = self.known_position(request, &need);
        let best = match known.is_some() || choose::ranks_before_position_request(operation) {
            true => Some(self.select(request, known, tried)?),
            false => None,
        };
        let best_leads = best.as_ref().is_some_and(|best| best.leads);
        let check = match choose::next_step(operation, known, best_leads) {
            NextStep::Send(check) => check,
            NextStep::RequestPosition => {
                let asked = self.leadership.confirmations.wait_for_observation(
                    group,
                    need.covered,
                    request.latest_start(),
                );
                let known = match asked.await {
                    Some(_) => self.known_position(request, &need),
                    None => None,
                };
                choose::check_after_position_request(operation, known)?
            }
        };
        let target = match (check, best) {
            (FreshnessCheck::Leads, _) => self
                .databases
                .primary_target(group, &request.regions)
                .ok()?,
            (FreshnessCheck::Holds(_), Some(best)) => best,
            (FreshnessCheck::Holds(needed), None) => self.select(request, Some(needed), tried)?,
        };
        Some(ChosenDatabase { target, check })
    }

    /// True when an untried database may serve a statement that has to see the commits of `need`.
    pub(super) fn has_alternative(
        &self,
        request: &Request,
        need: Option<FreshnessNeed>,
        tried: &[DatabaseName],
    ) -> bool {
        let Some(need) = need else {
            return false;
        };
        let known = self.known_position(request, &need);
        let ranked = self.ranked(request, known);
        ranked
            .iter()
            .any(|(candidate, target)| candidate.is_alternative() && !tried.contains(&target.name))
    }

    /// The position that a log must hold to meet `need`, if this node has a recent enough observation.
    fn known_position(&self, request: &Request, need: &FreshnessNeed) -> Option<LogPosition> {
        let group = self.databases.group(&request.route.group);
        need.position(&group.observations.borrow())
    }

    /// The best database that wasn't tried; once all were tried, the best of all, and `tried` is cleared.
    fn select(
        &self,
        request: &Request,
        needed: Option<LogPosition>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<Target> {
        let ranked = self.ranked(request, needed);
        let was_tried = |(_, target): &(Candidate, Target)| tried.contains(&target.name);
        match choose::select_next(ranked, was_tried) {
            Some(Selection::Untried((_, target))) => Some(target),
            Some(Selection::Restart((_, target))) => {
                tried.clear();
                Some(target)
            }
            None => {
                tried.clear();
                None
            }
        }
    }

    /// The databases that may serve a statement that needs the position `needed`, best first.
    fn ranked(&self, request: &Request, needed: Option<LogPosition>) -> Vec<(Candidate, Target)> {
        let group = &request.route.group;
        let directory = self.databases.directory.borrow();
        let primary = directory.primary(group).map(Member::name);
        let intent = Intent::first(&request.regions, false);
        let eligible = directory
            .members(group)
            .filter(|member| self.databases.check_eligibility(member, &intent).is_ok());
        let candidates = eligible.map(|member| {
            let target = self
                .databases
                .target(member, primary == Some(member.name()));
            (self.candidate(member, &target, needed), target)
        });
        let usual_lag = self.databases.replica_lag.get().value(self.cx.now());
        let inputs = RankingInputs {
            primary_penalty_ms: self.cx.settings.reads.primary_penalty_ms,
            replicas_likely_behind: self.databases.position_age(group, needed) < usual_lag,
        };
        choose::ranked(candidates.collect(), inputs)
    }

    fn candidate(
        &self,
        member: &Member,
        target: &Target,
        needed: Option<LogPosition>,
    ) -> Candidate {
        let idle_ms = self.databases.expected_latency_ms(member);
        let state = &target.state;
        Candidate {
            leads: target.leads,
            latency_ms: state.latency_estimate(idle_ms, member.announcement.slots),
            distance: self.databases.distance(member),
            was_behind: needed.is_some_and(|needed| state.is_behind(needed)),
            is_cold: !self.admits_in_slow_start(target),
            is_suspended: state.is_suspended(),
        }
    }

    /// Whether a read may go to `target` like to a warm database. During slow start a random sample decides, by
    /// a share that grows up to 1.
    fn admits_in_slow_start(&self, target: &Target) -> bool {
        let share = self.databases.pacer(&target.name).read_share();
        share >= 1.0 || rand::random_bool(share)
    }
}
