//! One attempt to run a statement at a database.

use std::rc::Rc;

use dyketally::statement::FailureKind;

use crate::database::connection::{Answer, Disconnected};
use crate::database::connection_request::ConnectionUse;
use crate::database::target::Target;
use crate::decision::choose::FreshnessCheck;
use crate::decision::{Operation, learn};
use crate::fleet::access::ExchangeError;
use crate::fleet::connection::DatabaseConnection;
use crate::statement::Statements;
use crate::statement::request::Request;

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The database gave the final answer.
    Answered(Answer),
    /// The statement has not run.
    NotRun(FailureKind),
    /// The statement was sent, and its answer was lost or incomplete.
    Lost(Disconnected),
}

impl AttemptOutcome {
    /// The database ended the batch before it sent all answers.
    pub(super) fn without_all_answers() -> Self {
        Self::Lost(Disconnected::new(
            "the database ended the batch before it sent all answers",
        ))
    }
}

impl Statements {
    /// The outcome of an attempt whose batch has no answers.
    pub(super) fn without_answer(
        self: &Rc<Self>,
        operation: Operation,
        (target, check): (&Target, FreshnessCheck),
        unanswered: ExchangeError,
    ) -> AttemptOutcome {
        match unanswered {
            ExchangeError::NotRun(kind) => {
                let feedback = learn::from_refusal_without_answer(operation, check, kind);
                self.apply_feedback(target, feedback);
                AttemptOutcome::NotRun(kind)
            }
            ExchangeError::Lost(broken) => AttemptOutcome::Lost(broken),
        }
    }

    /// Checks out a connection to `target` for `connection_use` of `request`; on failure tells why there is none.
    pub(super) async fn checkout(
        self: &Rc<Self>,
        request: &Request,
        target: &Target,
        connection_use: ConnectionUse,
    ) -> Result<DatabaseConnection, FailureKind> {
        let checkout = self.access.connect(
            target,
            &request.values,
            request.connection_request(connection_use),
        );
        checkout.await
    }
}
