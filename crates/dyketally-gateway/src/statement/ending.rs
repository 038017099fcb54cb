//! How statements end: what the rules on giving up ask for, and what is done as they say.

use std::rc::Rc;

use dyketally::eligibility::{Denial, Intent, ServingRegions};
use dyketally::freshness::FreshnessNeed;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::statement::FailureKind;

use crate::database::connection::Broken;
use crate::database::target::Target;
use crate::decision::give_up::{Circumstances, Primary, Verdict};
use crate::decision::learn::Lesson;
use crate::decision::{Reason, refuse};
use crate::gateway::Gateway;
use crate::statement::request::{Request, Served};

/// What a caller is told of a statement, and why.
pub struct Decided {
    /// What it is told.
    pub served: Served,
    /// Why, for the log.
    pub reason: Reason,
}

impl Decided {
    /// A database answered.
    pub fn answered(served: Served) -> Self {
        Self {
            served,
            reason: Reason::Answered,
        }
    }

    /// The answer was lost, and the statement may have run.
    pub(super) fn in_doubt(broken: &Broken) -> Self {
        Self {
            served: Served::in_doubt(&broken.reason),
            reason: Reason::AnswerLost,
        }
    }
}

/// What is known as an attempt has ended.
pub(super) struct Facts {
    /// For the rule.
    pub(super) circumstances: Circumstances,
    /// Why no database may serve the statement before the configuration changes.
    pub(super) denial: Option<Denial>,
}

impl Gateway {
    /// What is known as an attempt of `request` has ended, which has to see what `need` tells, or needs
    /// the primary, while others are `running`.
    pub(super) fn facts(
        &self,
        request: &Request,
        need: Option<FreshnessNeed>,
        tried: &[DatabaseName],
        running: usize,
    ) -> Facts {
        let group = &request.route.group;
        let intent = Intent::first(&request.regions, need.is_none());
        let denial = self.denied_for_good(group, &intent);
        let circumstances = Circumstances {
            elapsed: self.cx.now().saturating_since(request.arrived),
            objective: request.route.latency_objective,
            primary: self.primary_as_known(group),
            something_may_serve: denial.is_none(),
            running,
            has_untried: self.has_alternative(request, need, tried),
        };
        Facts {
            circumstances,
            denial,
        }
    }

    fn primary_as_known(&self, group: &GroupName) -> Primary {
        let primary = self.primary_target(group, &ServingRegions::anywhere());
        if primary.is_ok_and(|primary| !primary.state.is_suspended()) {
            return Primary::Usable;
        }
        Primary::Missing {
            since_first: self.databases.group(group).unled.missing_for(),
        }
    }

    /// Does what goes with a verdict, and returns why the statement is given up, if it is.
    pub(super) fn conclude(
        &self,
        request: &Request,
        verdict: Verdict,
        denial: Option<Denial>,
    ) -> Option<Reason> {
        if verdict.missed_primary {
            self.databases.group(&request.route.group).unled.missed();
        }
        if verdict.give_up == Some(Reason::NothingMayServe)
            && let Some(denial) = denial
        {
            self.report_unserved(request, denial);
        }
        verdict.give_up
    }

    /// Applies what a refusal or an answer told of `target`.
    pub(super) fn learn(self: &Rc<Self>, target: &Target, lesson: Option<Lesson>) {
        match lesson {
            None => {}
            Some(Lesson::Follows) => self.follows(target),
            Some(Lesson::Behind {
                needed,
                counts_for_lag,
            }) => {
                target.state.was_behind(needed);
                if counts_for_lag {
                    self.cx.counters.reads_behind.add();
                    self.databases.replica_showed(&target.group, needed, false);
                }
            }
            Some(Lesson::Holds {
                needed,
                counts_for_lag,
            }) => {
                target.state.was_fresh();
                if counts_for_lag {
                    self.databases.replica_showed(&target.group, needed, true);
                }
            }
        }
    }
}

impl Request {
    /// What the caller is told when the statement is given up for `reason`, where the last attempt was
    /// refused for `refusal`: that it hasn't run, but only if that is so.
    pub(super) fn given_up(&self, reason: Reason, refusal: FailureKind) -> Decided {
        let proof = self.dispatches.proven_not_run();
        let served = match refuse::single(reason, refusal, proof) {
            refuse::Told::NotRun { refusal, proof } => Served::not_run(refusal, proof),
            refuse::Told::InDoubt => Served::in_doubt("an attempt got no answer that counts"),
            refuse::Told::TimedOut => Served::timed_out(),
        };
        Decided { served, reason }
    }
}
