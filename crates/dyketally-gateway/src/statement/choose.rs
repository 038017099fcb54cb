//! The databases that may serve a statement, ranked by [`crate::decision::choose`].
//!
//! Collects what the rule asks for: the group's databases as the directory lists them, what this node has
//! seen of them, and the position that the statement needs.

use std::rc::Rc;

use dyketally::directory::Member;
use dyketally::eligibility::Intent;
use dyketally::freshness::FreshnessNeed;
use dyketally::group::LogPosition;
use dyketally::identifiers::DatabaseName;
use tokio::time::Instant;

use crate::database::target::Target;
use crate::decision::Operation;
use crate::decision::choose::{self, Candidate, Pick, Preferences, Proof, Way};
use crate::decision::retry::RETRY_PAUSE;
use crate::statement::Statements;
use crate::statement::request::Request;

/// A database for a statement.
pub(super) struct Choice {
    /// The database.
    pub(super) target: Target,
    /// How its answer proves that it is fresh enough.
    pub(super) proof: Proof,
}

impl Choice {
    fn leads(target: Target) -> Self {
        Self {
            target,
            proof: Proof::Leads,
        }
    }
}

impl Statements {
    /// A database for a read, or for the first statement of a transaction, that has to see what `need`
    /// tells, or needs the primary. Each that was chosen is `tried`; once all were, they go round again.
    pub(super) async fn choose(
        self: &Rc<Self>,
        request: &Request,
        operation: Operation,
        need: Option<FreshnessNeed>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<Choice> {
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
    ) -> Option<Choice> {
        if operation == Operation::Read {
            self.cx.counters.reads_bound_to_primaries.add();
        }
        let until = request.give_up().min(Instant::now() + RETRY_PAUSE);
        let primary =
            self.leadership
                .confirmations
                .primary_by(&request.route.group, &request.regions, until);
        primary.await.ok().map(Choice::leads)
    }

    async fn choose_fresh(
        self: &Rc<Self>,
        request: &Request,
        operation: Operation,
        need: FreshnessNeed,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<Choice> {
        let group = &request.route.group;
        let known = self.known_position(request, &need);
        let best = match known.is_some() || choose::ranks_before_asking(operation) {
            true => Some(self.first_untried(request, known, tried)?),
            false => None,
        };
        let best_leads = best.as_ref().is_some_and(|best| best.leads);
        let proof = match choose::way(operation, known, best_leads) {
            Way::Prove(proof) => proof,
            Way::AskForPosition => {
                let asked = self.leadership.confirmations.ensure_observation(
                    group,
                    need.covered,
                    request.give_up(),
                );
                let known = match asked.await {
                    Some(_) => self.known_position(request, &need),
                    None => None,
                };
                choose::proof_after_asking(operation, known)?
            }
        };
        let target = match (proof, best) {
            (Proof::Leads, _) => self
                .databases
                .primary_target(group, &request.regions)
                .ok()?,
            (Proof::Holds(_), Some(best)) => best,
            (Proof::Holds(position), None) => self.first_untried(request, Some(position), tried)?,
        };
        Some(Choice { target, proof })
    }

    /// True when a database that wasn't tried may serve a statement that has to see what `need` tells.
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

    /// The position that a log must hold to meet `need`, if an observation tells it.
    fn known_position(&self, request: &Request, need: &FreshnessNeed) -> Option<LogPosition> {
        let group = self.databases.group(&request.route.group);
        need.position(&group.observations.borrow())
    }

    /// The best database that wasn't tried; once all were, the best of all, and `tried` begins anew.
    fn first_untried(
        &self,
        request: &Request,
        needed: Option<LogPosition>,
        tried: &mut Vec<DatabaseName>,
    ) -> Option<Target> {
        let ranked = self.ranked(request, needed);
        let was_tried = |(_, target): &(Candidate, Target)| tried.contains(&target.name);
        match choose::next(ranked, was_tried) {
            Some(Pick::Untried((_, target))) => Some(target),
            Some(Pick::Again((_, target))) => {
                tried.clear();
                Some(target)
            }
            None => {
                tried.clear();
                None
            }
        }
    }

    /// The databases that may serve a statement whose log must hold `needed`, best first.
    fn ranked(&self, request: &Request, needed: Option<LogPosition>) -> Vec<(Candidate, Target)> {
        let group = &request.route.group;
        let directory = self.databases.directory.borrow();
        let primary = directory.primary(group).map(Member::name);
        let intent = Intent::first(&request.regions, false);
        let eligible = directory
            .members(group)
            .filter(|member| self.databases.judge(member, &intent).is_ok());
        let candidates = eligible.map(|member| {
            let target = self
                .databases
                .target(member, primary == Some(member.name()));
            (self.candidate(member, &target, needed), target)
        });
        let usual_lag = self.databases.replica_lag.get().value(self.cx.now());
        let preferences = Preferences {
            primary_penalty_ms: self.cx.settings.reads.primary_penalty_ms,
            is_too_new: self.databases.age_of(group, needed) < usual_lag,
        };
        choose::ranked(candidates.collect(), preferences)
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
            is_cold: !self.draws(target),
            is_suspended: state.is_suspended(),
        }
    }

    /// Whether a read may go to `target` before warm databases: not while it is cold, and then more and
    /// more often.
    fn draws(&self, target: &Target) -> bool {
        let share = self.databases.pacer(&target.name).share();
        share >= 1.0 || rand::random_bool(share)
    }
}
