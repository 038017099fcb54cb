//! A connection to a database for one exchange or one transaction: of this node's own pool, or kept
//! by a home.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Permission;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;
use tokio::time::Instant;

use crate::database::batch::{Batch, Reset};
use crate::database::claim::failure_kind;
use crate::database::claim::{Claim, Refusal};
use crate::database::connection::{Answer, Broken, leave_idle};
use crate::database::health::InFlight;
use crate::database::pacer::LONGEST_TURN;
use crate::database::pool;
use crate::database::target::Target;
use crate::fleet::access::Access;
use crate::fleet::link::{CallError, HomeCall};
use crate::gateway::Gateway;
use crate::ports::OwnStatement;

/// Silence after which a primary is probed while a statement goes on waiting for it.
const SILENCE: Duration = Duration::from_millis(200);
/// Longest time that dropping a transaction may take before its connection is closed instead.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(2);

/// A connection in use. Dropping it closes the connection; [`Checkout::give_back`] keeps it.
pub enum Checkout {
    /// Of this node's own pool.
    Own(pool::Checkout),
    /// At a home, which hands it out with the first batch.
    Remote(HomeCall),
}

impl Checkout {
    /// Returns the connection for others to use. It must be outside any transaction.
    pub fn give_back(self) {
        match self {
            Self::Own(checkout) => checkout.give_back(),
            Self::Remote(call) => call.give_back(),
        }
    }

    /// Drops the transaction that is open on the connection, in the background, and returns it.
    pub fn roll_back(self, reset: Reset) {
        let mut checkout = self;
        tokio::task::spawn_local(async move {
            let mut batch = Batch::own([OwnStatement::Rollback]);
            batch.reset = reset;
            let permission = Permission::control(checkout.database());
            let running = checkout.run(&batch, permission);
            let rolled_back = tokio::time::timeout(ROLLBACK_LIMIT, running).await;
            let Ok(Ok(answers)) = rolled_back else {
                return;
            };
            if leave_idle(&answers) {
                checkout.give_back();
            }
        });
    }

    /// Waits for its turn to run a batch that goes on with a transaction. A home waits by itself.
    pub async fn wait_for_turn(&mut self, batch: &Batch) {
        match self {
            Self::Own(checkout) => checkout.wait_for_turn(batch).await,
            Self::Remote(_) => {}
        }
    }

    /// The database that it leads to.
    fn database(&self) -> &DatabaseName {
        match self {
            Self::Own(checkout) => checkout.database(),
            Self::Remote(call) => call.database(),
        }
    }

    /// Runs a batch, for which `permission` was obtained.
    async fn run(
        &mut self,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, CallError> {
        match self {
            Self::Own(checkout) => {
                let run = checkout.run(batch, permission);
                run.await.map_err(call_error)
            }
            Self::Remote(call) => call.run(batch, permission).await,
        }
    }
}

fn call_error(error: pool::RunError) -> CallError {
    match error {
        pool::RunError::Denied(denial) => CallError::NotRun(Refusal {
            kind: failure_kind(denial),
            unreachable: false,
        }),
        pool::RunError::Broken(broken) => CallError::DatabaseBroke(broken),
    }
}

/// Why a batch has no answers.
#[derive(Clone, Debug)]
pub enum Unanswered {
    /// No step was run.
    NotRun(FailureKind),
    /// It was sent, and any step may have run.
    Lost(Broken),
}

impl Gateway {
    /// A connection to `target`, or why there is none.
    pub async fn checkout_for(
        self: &Rc<Self>,
        target: &Target,
        values: &BTreeMap<String, String>,
        claim: Claim,
    ) -> Result<Checkout, FailureKind> {
        match self.fleet.access_to(&self.databases, &target.name, &claim) {
            Access::ViaHomes(homes) => {
                let call = HomeCall::new(self.clone(), target.name.clone(), homes, claim);
                Ok(Checkout::Remote(call))
            }
            Access::Own => {
                let checkout = self.databases.checkout(target, values, claim);
                Ok(Checkout::Own(
                    checkout.await.map_err(|refusal| refusal.kind)?,
                ))
            }
        }
    }

    /// Runs a batch at `target` and reads the answers; probes it if it stays silent.
    ///
    /// # Errors
    /// There are no answers; tells whether anything may have run.
    pub async fn exchange(
        self: &Rc<Self>,
        checkout: &mut Checkout,
        target: &Target,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, Unanswered> {
        let _in_flight = InFlight::begin(&target.state);
        let started = Instant::now();
        let is_own = matches!(checkout, Checkout::Own(_));
        let run = checkout.run(batch, permission);
        tokio::pin!(run);
        // The wait for a cold database's turn isn't silence of the database: taken for that, it would be
        // probed by many nodes, whose connections load it further.
        let silence = match target.state.pool.is_cold() {
            true => SILENCE + LONGEST_TURN,
            false => SILENCE,
        };
        let result = match tokio::time::timeout(silence, &mut run).await {
            Ok(result) => result,
            Err(_) => {
                if is_own {
                    self.suspect_primary(target);
                }
                run.await
            }
        };
        match result {
            Ok(answers) => {
                target.state.answered(started.elapsed());
                Ok(answers)
            }
            Err(error) => Err(self.unanswered(target, is_own, error)),
        }
    }

    fn unanswered(self: &Rc<Self>, target: &Target, is_own: bool, error: CallError) -> Unanswered {
        match error {
            CallError::DatabaseBroke(broken) if is_own => {
                self.databases.unreachable(target);
                Unanswered::Lost(broken)
            }
            CallError::DatabaseBroke(broken) => {
                target.state.failed();
                Unanswered::Lost(broken)
            }
            CallError::HomeLost(broken) => Unanswered::Lost(broken),
            CallError::NotRun(refusal) => {
                if refusal.unreachable {
                    target.state.failed();
                }
                Unanswered::NotRun(refusal.kind)
            }
        }
    }
}
