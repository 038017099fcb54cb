//! Checks out connections from this node's own pools, and turns pool errors into refusals.

use std::collections::BTreeMap;

use dyketally::statement::FailureKind;

use super::Databases;
use super::connection::OpenError;
use super::connection_request::{ConnectionRequest, Refusal, failure_kind};
use super::pool::{Checkout, CheckoutError};
use super::target::Target;

impl Databases {
    /// Checks out a connection to `target` from this node's pool.
    ///
    /// # Errors
    /// The reason why there is no connection.
    pub async fn checkout(
        &self,
        target: &Target,
        values: &BTreeMap<String, String>,
        request: ConnectionRequest,
    ) -> Result<Checkout, Refusal> {
        let pool = &target.state.pool;
        let checkout = pool.checkout(values, request);
        checkout.await.map_err(|error| self.refusal(target, &error))
    }

    fn refusal(&self, target: &Target, error: &CheckoutError) -> Refusal {
        let (kind, unreachable) = match error {
            CheckoutError::Exhausted => (FailureKind::NoConnection, false),
            CheckoutError::QueueTooLong => (FailureKind::QueueTooLong, false),
            CheckoutError::Denied(denial) => {
                self.cx.counters.denied.add(denial.kind(), 1);
                (failure_kind(*denial), false)
            }
            CheckoutError::Open(OpenError::TurnedAway(failure)) => {
                (failure.kind, failure.kind == FailureKind::WrongDatabase)
            }
            CheckoutError::Open(OpenError::Refused | OpenError::Silent) => {
                (FailureKind::Busy, true)
            }
        };
        if unreachable {
            self.record_unreachable(target);
        }
        Refusal { kind, unreachable }
    }

    /// Records that `target` can't be reached, and starts a probe if it is a primary.
    pub fn record_unreachable(&self, target: &Target) {
        target.state.record_failure();
        self.suspect(target);
    }

    /// Starts a probe of `target` if it is a primary.
    pub fn suspect(&self, target: &Target) {
        if let Some(watch) = self.primary_watch() {
            watch.suspect(target);
        }
    }

    /// Reports `target` as lost if it is a primary.
    pub fn report_lost(&self, target: &Target) {
        if let Some(watch) = self.primary_watch().filter(|_| self.is_primary(target)) {
            watch.report_lost(target);
        }
    }
}
