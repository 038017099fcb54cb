//! How statements end: what the rules on giving up ask for, and what is done as they say.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::{Denial, Intent};
use dyketally::freshness::FreshnessNeed;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;

use crate::database::connection::Broken;
use crate::database::target::Target;
use crate::decision::give_up::{self, Circumstances, Primary};
use crate::decision::learn::Lesson;
use crate::decision::{Operation, Reason, refuse};
use crate::statement::Statements;
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

/// What is known as an attempt of a statement has ended, looked up as the rule asks for it.
pub(super) struct Known<'a> {
    pub(super) statements: &'a Statements,
    pub(super) request: &'a Request,
    /// What the statement has to see; `None` when it needs the primary.
    pub(super) need: Option<FreshnessNeed>,
    /// Databases that were tried.
    pub(super) tried: &'a [DatabaseName],
    /// Attempts that still run.
    pub(super) running: usize,
}

impl Known<'_> {
    /// Why no database may serve the statement before the configuration changes.
    fn denial(&self) -> Option<Denial> {
        let Self {
            statements,
            request,
            ..
        } = self;
        let intent = Intent::first(&request.regions, self.need.is_none());
        statements
            .databases
            .denied_for_good(&request.route.group, &intent)
    }

    /// Why the statement is given up after an attempt, if it is; with what goes with that.
    pub(super) fn judge(&self, operation: Operation, attempt: give_up::Attempt) -> Option<Reason> {
        let Self {
            statements,
            request,
            ..
        } = self;
        let verdict = give_up::after_attempt(operation, attempt, self);
        if verdict.missed_primary {
            let group = statements.databases.group(&request.route.group);
            group.availability.attempt_failed();
        }
        if verdict.give_up == Some(Reason::NothingMayServe)
            && let Some(denial) = self.denial()
        {
            statements.report_unserved(request, denial);
        }
        verdict.give_up
    }
}

impl Circumstances for Known<'_> {
    fn elapsed(&self) -> Duration {
        let now = self.statements.cx.now();
        now.saturating_since(self.request.arrived)
    }

    fn objective(&self) -> Duration {
        self.request.route.latency_objective
    }

    fn primary(&self) -> Primary {
        let group = &self.request.route.group;
        match self.statements.databases.primary_missing_for(group) {
            None => Primary::Usable,
            Some(since_first) => Primary::Missing { since_first },
        }
    }

    fn something_may_serve(&self) -> bool {
        self.denial().is_none()
    }

    fn running(&self) -> usize {
        self.running
    }

    fn has_untried(&self) -> bool {
        self.statements
            .has_alternative(self.request, self.need, self.tried)
    }
}

impl Statements {
    /// Applies what a refusal or an answer told of `target`.
    pub(super) fn learn(self: &Rc<Self>, target: &Target, lesson: Option<Lesson>) {
        match lesson {
            None => {}
            Some(Lesson::Follows) => self.leadership.confirmations.refused_as_primary(target),
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
