//! Single writes: sent to the primary once, and never again after that.

use std::rc::Rc;
use std::time::Duration;

use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use crate::connection::{Answer, Broken, OpenError};
use crate::gateway::Gateway;
use crate::health::InFlight;
use crate::pool::{Checkout, CheckoutError};
use crate::ports::DatabaseCommand;
use crate::request::{Request, Served};
use crate::target::Target;

/// Pause before a statement that was not run is sent again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Silence after which a primary is probed while a statement goes on waiting for it.
const SILENCE: Duration = Duration::from_millis(200);

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
            let Some(target) = self.primary_by(group, request.give_up()).await else {
                return Served::not_run(refusal);
            };
            let attempt = self.write_once(request, &target);
            match tokio::time::timeout_at(request.deadline, attempt).await {
                Ok(Attempt::Answered(answer)) => return Served::from_database(answer),
                Ok(Attempt::NotRun(kind)) => refusal = kind,
                Ok(Attempt::Lost(broken)) => return Served::in_doubt(&broken.reason),
                Err(_) => return Served::timed_out(),
            }
            if Instant::now() + RETRY_PAUSE >= request.give_up() {
                return Served::not_run(refusal);
            }
            self.next_change(Instant::now() + RETRY_PAUSE).await;
        }
    }

    async fn write_once(self: &Rc<Self>, request: &Request, target: &Target) -> Attempt {
        let mut checkout = match self.checkout(request, target).await {
            Ok(checkout) => checkout,
            Err(kind) => return Attempt::NotRun(kind),
        };
        let (mut commands, name) = checkout
            .connection()
            .adopt(&request.values, request.prepared());
        let adopted = commands.len();
        commands.push(request.command(name, None));
        request.attempt(self);
        let sent = self.now();
        let answers = self.exchange(&mut checkout, target, &commands).await;
        if let Ok(answers) = &answers {
            checkout.connection().check_adoption(answers, adopted);
        }
        let answer = match answers.map(|mut answers| answers.pop()) {
            Ok(Some(answer)) => answer,
            Ok(None) => return Attempt::NotRun(FailureKind::Other),
            Err(broken) => return Attempt::Lost(broken),
        };
        if answer.state == TransactionState::Idle {
            checkout.give_back();
        }
        match &answer.end {
            Ok(_) => self.observe(&target.group, answer.position, sent),
            Err(failure) if failure.kind.not_run() => {
                if failure.kind == FailureKind::ReadOnly {
                    self.follows(target);
                }
                return Attempt::NotRun(failure.kind);
            }
            Err(_) => {}
        }
        Attempt::Answered(answer)
    }

    /// A connection to `target` for `request`, or why there is none.
    pub async fn checkout(
        self: &Rc<Self>,
        request: &Request,
        target: &Target,
    ) -> Result<Checkout, FailureKind> {
        let pool = &target.state.pool;
        let priority = request.route.priority + 1;
        let checkout = pool.checkout(&request.values, priority, request.give_up());
        checkout.await.map_err(|error| match error {
            CheckoutError::Exhausted => FailureKind::Busy,
            CheckoutError::Open(OpenError::TurnedAway(failure)) => {
                if failure.kind == FailureKind::WrongDatabase {
                    self.unreachable(target);
                }
                failure.kind
            }
            CheckoutError::Open(OpenError::Refused | OpenError::Silent) => {
                self.unreachable(target);
                FailureKind::Busy
            }
        })
    }

    /// Takes in that `target` can't be reached.
    pub fn unreachable(self: &Rc<Self>, target: &Target) {
        target.state.failed();
        self.suspect_primary(target);
    }

    /// Sends commands to `target` and reads the answers; probes it if it stays silent.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn exchange(
        self: &Rc<Self>,
        checkout: &mut Checkout,
        target: &Target,
        commands: &[DatabaseCommand],
    ) -> Result<Vec<Answer>, Broken> {
        let _in_flight = InFlight::begin(&target.state);
        let started = Instant::now();
        let exchange = checkout.connection().exchange(commands);
        tokio::pin!(exchange);
        let result = match tokio::time::timeout(SILENCE, &mut exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.suspect_primary(target);
                exchange.await
            }
        };
        match &result {
            Ok(_) => target.state.answered(started.elapsed()),
            Err(_) => self.unreachable(target),
        }
        result
    }
}
