//! One attempt to serve a statement at a database.

use std::rc::Rc;

use dyketally::statement::FailureKind;

use crate::database::claim::Work;
use crate::database::connection::{Answer, Broken};
use crate::database::target::Target;
use crate::decision::choose::Proof;
use crate::decision::{Operation, learn};
use crate::fleet::access::ExchangeError;
use crate::fleet::connection::DatabaseConnection;
use crate::statement::Statements;
use crate::statement::request::Request;

/// What became of one attempt.
pub enum Attempt {
    /// The database answered, and what it says is final.
    Answered(Answer),
    /// The statement was not run.
    NotRun(FailureKind),
    /// The statement was sent and there was no whole answer.
    Lost(Broken),
}

impl Attempt {
    /// The database ended the batch early.
    pub(super) fn without_all_answers() -> Self {
        Self::Lost(Broken::new("the database gave no answer"))
    }
}

impl Statements {
    /// What an attempt comes to whose batch has no answers.
    pub(super) fn without_answer(
        self: &Rc<Self>,
        operation: Operation,
        (target, proof): (&Target, Proof),
        unanswered: ExchangeError,
    ) -> Attempt {
        match unanswered {
            ExchangeError::NotRun(kind) => {
                let lesson = learn::from_refusal_without_answer(operation, proof, kind);
                self.learn(target, lesson);
                Attempt::NotRun(kind)
            }
            ExchangeError::Lost(broken) => Attempt::Lost(broken),
        }
    }

    /// A connection to `target` for `work` of `request`, or why there is none.
    pub(super) async fn checkout(
        self: &Rc<Self>,
        request: &Request,
        target: &Target,
        work: Work,
    ) -> Result<DatabaseConnection, FailureKind> {
        let checkout = self
            .access
            .connect(target, &request.values, request.claim(work));
        checkout.await
    }
}
