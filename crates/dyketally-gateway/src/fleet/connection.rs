//! A connection to a database for one exchange or one transaction, either from this node's own pool or from
//! that of a home.

use std::time::Duration;

use dyketally::eligibility::Permission;
use dyketally::identifiers::DatabaseName;

use crate::database::batch::{Batch, Reset};
use crate::database::connection::{Answer, end_outside_transaction};
use crate::database::connection_request::Refusal;
use crate::database::pool;
use crate::fleet::link::{CallError, HomeCall};
use crate::ports::OwnStatement;

/// Longest time that rolling back a transaction may take before its connection is closed instead.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(2);

/// A connection in use. Dropping it closes the connection; [`DatabaseConnection::give_back`] keeps it.
pub enum DatabaseConnection {
    /// A connection from this node's own pool.
    Own(pool::Checkout),
    /// A connection of a home, which checks it out of its pool when the first batch arrives.
    Remote(HomeCall),
}

impl DatabaseConnection {
    /// Returns the connection to its pool. No transaction may be open on it.
    pub fn give_back(self) {
        match self {
            Self::Own(checkout) => checkout.give_back(),
            Self::Remote(call) => call.give_back(),
        }
    }

    /// Rolls back the open transaction in the background and returns the connection to its pool, or closes
    /// the connection if that fails.
    pub fn roll_back(self, reset: Reset) {
        let mut checkout = self;
        tokio::task::spawn_local(async move {
            let mut batch = Batch::of_gateway([OwnStatement::Rollback]);
            batch.reset = reset;
            let permission = Permission::control(checkout.database());
            let running = checkout.run(&batch, permission);
            let rolled_back = tokio::time::timeout(ROLLBACK_LIMIT, running).await;
            let Ok(Ok(answers)) = rolled_back else {
                return;
            };
            if end_outside_transaction(&answers) {
                checkout.give_back();
            }
        });
    }

    /// Waits for a slot of the database before the next batch of an open transaction. Returns at once for a
    /// connection of a home, since the home waits itself.
    pub async fn wait_for_turn(&mut self, batch: &Batch) {
        match self {
            Self::Own(checkout) => checkout.wait_for_turn(batch).await,
            Self::Remote(_) => {}
        }
    }

    /// The database that the connection is open to.
    fn database(&self) -> &DatabaseName {
        match self {
            Self::Own(checkout) => checkout.database(),
            Self::Remote(call) => call.database(),
        }
    }

    /// Runs a batch; `permission` must be for this connection's database.
    pub(super) async fn run(
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
        pool::RunError::Denied(denial) => CallError::NotRun(Refusal::denied(denial)),
        pool::RunError::Broken(broken) => CallError::DatabaseBroke(broken),
    }
}
