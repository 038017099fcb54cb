//! Opens connections of a pool.

use std::rc::Rc;
use std::time::Duration;

use dyketally::statement::FailureKind;
use tokio::time::Instant;

use super::guards::{Guards, OpenSlot};
use super::{Checkout, CheckoutError, Pool};
use crate::database::connection::{Destination, OpenError};
use crate::measures::Stage;
use crate::ports::DatabaseUser;

/// Time limit for opening a connection. Opening usually takes about 12 ms, and a busy database may accept more
/// slowly.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

impl Pool {
    /// Opens a connection for `user` by the deadline `until`.
    pub(super) async fn open_one(
        self: &Rc<Self>,
        user: DatabaseUser,
        until: Instant,
        guards: Guards,
    ) -> Result<Checkout, CheckoutError> {
        let began = Instant::now();
        let left = until.saturating_duration_since(began);
        let slot = OpenSlot::take(self);
        let to = Destination {
            group: &self.group,
            database: &self.database,
        };
        let route = self.path.route();
        let limit = OPEN_TIMEOUT.min(left);
        let connection = self.connector.open(route, to, user, limit);
        match connection.await {
            Ok(connection) => {
                slot.keep();
                self.measures
                    .record_stage(Stage::Connection, began.elapsed());
                Ok(Checkout::new(self.clone(), connection, guards))
            }
            Err(error) => {
                // A rejection shows that the database is running. Any other error might mean that it is restarting,
                // after which it is cold: it accepts only a limited rate of statements at first.
                if !matches!(error, OpenError::TurnedAway(_)) {
                    self.pacer.record_possible_restart();
                }
                if is_overload(&error) {
                    self.size.record_refusal(self.open.get().saturating_sub(1));
                }
                // A time-out after less than `OPEN_TIMEOUT` doesn't show that the database is silent.
                match (error, left < OPEN_TIMEOUT) {
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
