//! How statements end: collects the inputs of the give-up rules and carries out their results.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::{Denial, Intent};
use dyketally::freshness::FreshnessNeed;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;

use crate::database::connection::Disconnected;
use crate::database::target::Target;
use crate::decision::give_up::{self, GiveUpInputs, PrimaryState};
use crate::decision::learn::Feedback;
use crate::decision::{Operation, Reason, refuse};
use crate::statement::Statements;
use crate::statement::request::{Request, Response};

/// What a caller receives for a statement, and why.
pub struct StatementOutcome {
    /// Answer or error for the caller.
    pub response: Response,
    /// Why the statement ended so, for the log.
    pub reason: Reason,
}

impl StatementOutcome {
    /// A database answered the statement.
    pub fn answered(response: Response) -> Self {
        Self {
            response,
            reason: Reason::Answered,
        }
    }

    /// The answer was lost, and the statement may have run.
    pub(super) fn in_doubt(broken: &Disconnected) -> Self {
        Self {
            response: Response::in_doubt(&broken.reason),
            reason: Reason::AnswerLost,
        }
    }
}

/// Inputs of the give-up rules after an attempt, looked up when a rule asks for them.
pub(super) struct LiveInputs<'a> {
    pub(super) statements: &'a Statements,
    pub(super) request: &'a Request,
    /// Commits that the statement has to see; `None` when it needs the primary.
    pub(super) need: Option<FreshnessNeed>,
    /// Databases that were tried.
    pub(super) tried: &'a [DatabaseName],
    /// Number of attempts that are still running.
    pub(super) running: usize,
}

impl LiveInputs<'_> {
    /// Why no database may serve the statement until the configuration changes; `None` when one may.
    fn denial(&self) -> Option<Denial> {
        let Self {
            statements,
            request,
            ..
        } = self;
        let intent = Intent::first(&request.regions, self.need.is_none());
        statements
            .databases
            .lasting_denial(&request.route.group, &intent)
    }

    /// Why the statement is given up after an attempt; `None` when it goes on. Records a missing primary, and
    /// reports a statement that no database may serve.
    pub(super) fn reason_to_give_up(
        &self,
        operation: Operation,
        attempt: give_up::UnansweredAttempt,
    ) -> Option<Reason> {
        let Self {
            statements,
            request,
            ..
        } = self;
        let after = give_up::after_attempt(operation, attempt, self);
        if after.found_no_primary {
            let group = statements.databases.group(&request.route.group);
            group.availability.record_failed_attempt();
        }
        if after.give_up == Some(Reason::NothingMayServe)
            && let Some(denial) = self.denial()
        {
            statements.report_unserved(request, denial);
        }
        after.give_up
    }
}

impl GiveUpInputs for LiveInputs<'_> {
    fn elapsed(&self) -> Duration {
        let now = self.statements.cx.now();
        now.saturating_since(self.request.arrived)
    }

    fn objective(&self) -> Duration {
        self.request.route.latency_objective
    }

    fn primary(&self) -> PrimaryState {
        let group = &self.request.route.group;
        match self.statements.databases.primary_missing_for(group) {
            None => PrimaryState::Usable,
            Some(since_first) => PrimaryState::Missing { since_first },
        }
    }

    fn any_database_may_serve(&self) -> bool {
        self.denial().is_none()
    }

    fn running(&self) -> usize {
        self.running
    }

    fn has_untried_database(&self) -> bool {
        self.statements
            .has_alternative(self.request, self.need, self.tried)
    }
}

impl Statements {
    /// Records what a refusal or an answer shows about `target`.
    pub(super) fn apply_feedback(self: &Rc<Self>, target: &Target, feedback: Option<Feedback>) {
        match feedback {
            None => {}
            Some(Feedback::Follows) => self
                .leadership
                .confirmations
                .record_refused_as_primary(target),
            Some(Feedback::Behind {
                needed,
                updates_lag_estimate,
            }) => {
                target.state.record_behind(needed);
                if updates_lag_estimate {
                    self.cx.counters.reads_behind.add();
                    self.databases
                        .record_replica_lag(&target.group, needed, false);
                }
            }
            Some(Feedback::Holds {
                needed,
                updates_lag_estimate,
            }) => {
                target.state.record_fresh();
                if updates_lag_estimate {
                    self.databases
                        .record_replica_lag(&target.group, needed, true);
                }
            }
        }
    }
}

impl Request {
    /// The outcome for a statement that is given up for `reason` after its last attempt was refused for
    /// `refusal`. The caller is told that it has not run only if that is proven.
    pub(super) fn given_up(&self, reason: Reason, refusal: FailureKind) -> StatementOutcome {
        let proof = self.dispatches.proven_not_run();
        let response = match refuse::single_statement(reason, refusal, proof) {
            refuse::StatementError::NotRun { refusal, proof } => Response::not_run(refusal, proof),
            refuse::StatementError::InDoubt => Response::in_doubt("an attempt was not answered"),
            refuse::StatementError::TimedOut => Response::timed_out(),
        };
        StatementOutcome { response, reason }
    }
}
