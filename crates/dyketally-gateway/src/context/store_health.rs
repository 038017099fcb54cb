//! Whether the store replies to this node, directly or through a relay. Owns the time of the last reply; relies
//! on nothing else.

use std::cell::Cell;
use std::time::Duration;

use dyketally_store::StoreError;
use dyketally_store::key_value::{KeyValueStore, LeaseId};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without a reply after which the store is treated as lost, provided that a call has failed. It spans two
/// renewals of the coordinator's lease, which are 0.8 s apart.
const LOST_AFTER: Duration = Duration::from_millis(1_800);

/// Whether the store replies, by the last calls to it.
#[derive(Default)]
pub struct StoreHealth {
    /// Notified when the store replies again after a call that failed.
    pub regained: Notify,
    /// Notified when another node polls this one on a primary. Its vote also says whether the store is lost, so
    /// its lease is then renewed early.
    pub check_requested: Notify,
    /// When the store replied last.
    replied: Cell<Option<Instant>>,
    /// True when the last recorded call failed.
    failing: Cell<bool>,
}

impl StoreHealth {
    /// Records that the store replied. The first reply after a failure wakes all tasks that wait for the store:
    /// a watch that was lost during the outage reports nothing by itself.
    pub fn record_reply(&self) {
        self.replied.set(Some(Instant::now()));
        if self.failing.replace(false) {
            self.regained.notify_waiters();
        }
    }

    /// Records that the store didn't reply to a call.
    pub fn record_failure(&self) {
        self.failing.set(true);
    }

    /// True when the last recorded call to the store failed.
    pub fn is_failing(&self) -> bool {
        self.failing.get()
    }

    /// True when the last recorded call failed and the last reply is older than `LOST_AFTER`.
    pub fn is_lost(&self) -> bool {
        let replied = self.replied.get();
        self.failing.get() && replied.is_some_and(|at| at.elapsed() > LOST_AFTER)
    }

    /// Renews a lease at `store`, and records whether the store replied.
    ///
    /// # Errors
    /// The lease has lapsed, or the store didn't reply.
    pub async fn renew(
        &self,
        store: &dyn KeyValueStore,
        lease: LeaseId,
    ) -> Result<Duration, StoreError> {
        let renewed = store.keep_lease_alive(lease).await;
        match &renewed {
            Ok(_) => self.record_reply(),
            // Not recorded: the store replied, but only the next call shows whether it works again.
            Err(StoreError::LeaseLapsed { .. }) => {}
            Err(_) => self.record_failure(),
        }
        renewed
    }
}
