//! Single writes: sent to the primary once, and never again after that.

use std::rc::Rc;
use std::time::Duration;

use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use crate::database::batch::Batch;
use crate::database::claim::Work;
use crate::database::connection::{Answer, Broken};
use crate::database::target::Target;
use crate::fleet::access::ExchangeError;
use crate::fleet::connection::DatabaseConnection;
use crate::gateway::Gateway;
use crate::statement::request::{Request, Served, Stage};

/// Pause before a statement that was not run is sent again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// What became of one attempt.
pub enum Attempt {
    /// The database answered, and what it says is final.
    Answered(Answer),
    /// The statement was not run.
    NotRun(FailureKind),
    /// The statement was sent and there was no whole answer.
    Lost(Broken),
}

impl Gateway {
    /// Serves a single write.
    pub async fn serve_write(self: &Rc<Self>, request: &Request) -> Served {
        let mut refusal = FailureKind::Busy;
        loop {
            let group = &request.route.group;
            let patience = self
                .databases
                .group(group)
                .availability
                .wait_until(request.give_up());
            let target = match self
                .leadership
                .confirmations
                .primary_by(group, &request.regions, patience)
                .await
            {
                Ok(target) => target,
                Err(denial) if denial.is_lasting() => {
                    self.report_served_nowhere(&request.route, &request.regions, denial);
                    return request.refuse(FailureKind::NotServedHere);
                }
                Err(_) => {
                    self.databases.group(group).availability.attempt_failed();
                    return request.refuse(refusal);
                }
            };
            let attempt = self.write_once(request, &target);
            match tokio::time::timeout_at(request.deadline, attempt).await {
                Ok(Attempt::Answered(answer)) => return Served::from_database(answer),
                Ok(Attempt::NotRun(kind))
                    if request.is_hopeless(self, kind)
                        || self.databases.primary_is_unavailable(group) =>
                {
                    return request.refuse(kind);
                }
                Ok(Attempt::NotRun(kind)) => refusal = kind,
                Ok(Attempt::Lost(broken)) => return Served::in_doubt(&broken.reason),
                Err(_) => return request.out_of_time(refusal),
            }
            if Instant::now() + RETRY_PAUSE >= request.give_up() {
                return request.refuse(refusal);
            }
            self.cx.changes.next(Instant::now() + RETRY_PAUSE).await;
        }
    }

    async fn write_once(self: &Rc<Self>, request: &Request, target: &Target) -> Attempt {
        let mut checkout = match self.checkout(request, target, Work::Statements).await {
            Ok(checkout) => checkout,
            Err(kind) => return Attempt::NotRun(kind),
        };
        let batch = Batch::of(request.context(), vec![request.step(None)]);
        request.attempt(self);
        let sent = self.cx.now();
        let exchange = request.exchange(self, &mut checkout, target, &batch, Stage::First);
        let (mut answers, hand_over) = match exchange.await {
            Ok(answered) => answered,
            Err(unanswered) => return unanswered.into(),
        };
        let Some(answer) = answers.pop() else {
            return Attempt::Lost(Broken::new("the database gave no answer"));
        };
        if answer.state == TransactionState::Idle {
            checkout.give_back();
        }
        match &answer.end {
            Ok(_) if !self.leadership.checks.is_upheld(target).await => {
                return Attempt::Lost(Broken::replaced());
            }
            Ok(_) => self.databases.observe(&target.group, answer.position, sent),
            Err(failure) if failure.kind.not_run() => {
                hand_over.rejected();
                if failure.kind == FailureKind::ReadOnly {
                    self.leadership.confirmations.refused_as_primary(target);
                }
                return Attempt::NotRun(failure.kind);
            }
            Err(_) => {}
        }
        Attempt::Answered(answer)
    }

    /// A connection to `target` for `work` of `request`, or why there is none.
    pub async fn checkout(
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

impl From<ExchangeError> for Attempt {
    fn from(unanswered: ExchangeError) -> Self {
        match unanswered {
            ExchangeError::NotRun(kind) => Self::NotRun(kind),
            ExchangeError::Lost(broken) => Self::Lost(broken),
        }
    }
}
