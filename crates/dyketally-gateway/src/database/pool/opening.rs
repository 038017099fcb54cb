//! Opens connections of a pool.

use std::rc::Rc;
use std::time::Duration;

use dyketally::statement::FailureKind;
use tokio::time::Instant;

use super::guards::{Held, OpenSlot};
use super::{Checkout, CheckoutError, Pool};
use crate::database::connection::{Destination, OpenError};
use crate::measures::Stage;
use crate::ports::DatabaseUser;

/// Longest time that opening a connection may take. Opening one takes about 12 ms at the databases of
/// today, and a busy one may be slow to accept it. Not measured.
pub const OPEN_LIMIT: Duration = Duration::from_millis(500);

impl Pool {
    pub(super) async fn open_one(
        self: &Rc<Self>,
        user: DatabaseUser,
        until: Instant,
        held: Held,
    ) -> Result<Checkout, CheckoutError> {
        let began = Instant::now();
        let left = until.saturating_duration_since(began);
        let slot = OpenSlot::take(self);
        let to = Destination {
            group: &self.group,
            database: &self.database,
        };
        let route = self.path.route();
        let limit = OPEN_LIMIT.min(left);
        let connection = self.connector.open(route, to, user, limit);
        match connection.await {
            Ok(connection) => {
                slot.keep();
                self.measures.spent(Stage::Connection, began.elapsed());
                Ok(Checkout::new(self.clone(), connection, held))
            }
            Err(error) => {
                if !matches!(error, OpenError::TurnedAway(_)) {
                    self.pacer.may_have_restarted();
                }
                if is_overload(&error) {
                    self.size.refused_at(self.open.get().saturating_sub(1));
                }
                // Too little time was left to tell whether the database is silent.
                match (error, left < OPEN_LIMIT) {
                    (OpenError::Silent, true) => Err(CheckoutError::Exhausted),
                    (error, _) => Err(error.into()),
                }
            }
        }
    }
}

fn is_overload(error: &OpenError) -> bool {
    matches!(error, OpenError::TurnedAway(failure) if failure.kind == FailureKind::Overloaded)
}
