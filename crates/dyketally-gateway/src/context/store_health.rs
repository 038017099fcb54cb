//! Whether the store replies to this node, by its own calls or by way of a relay. Owns when it replied
//! last; relies on nothing.

use std::cell::Cell;
use std::time::Duration;

use dyketally_store::StoreError;
use dyketally_store::key_value::{KeyValueStore, LeaseId};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Silence after which the store counts as lost, once a call has failed: two renewals of the
/// coordinator's lease, which come each 0.8 s. Not measured.
const LOST_AFTER: Duration = Duration::from_millis(1_800);

/// What the calls to the store showed last.
#[derive(Default)]
pub struct StoreHealth {
    /// Notified when the store replies again after a call that failed.
    pub regained: Notify,
    /// Notified when it matters whether the store can be reached.
    pub check: Notify,
    replied: Cell<Option<Instant>>,
    failing: Cell<bool>,
}

impl StoreHealth {
    /// Records that the store replied. After a failure all who wait are woken: a watch that was lost with
    /// the store reports nothing by itself.
    pub fn replied(&self) {
        self.replied.set(Some(Instant::now()));
        if self.failing.replace(false) {
            self.regained.notify_waiters();
        }
    }

    /// Records that the store didn't reply to a renewal.
    pub fn failed(&self) {
        self.failing.set(true);
    }

    /// True when the last renewal found the store failing.
    pub fn is_failing(&self) -> bool {
        self.failing.get()
    }

    /// True when the store fails this node and has been silent for a while.
    pub fn is_lost(&self) -> bool {
        let replied = self.replied.get();
        self.failing.get() && replied.is_some_and(|at| at.elapsed() > LOST_AFTER)
    }

    /// Renews a lease at `store`, and records what that shows of the store.
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
            Ok(_) => self.replied(),
            // The store replied, but whether it works again the next call shows.
            Err(StoreError::LeaseLapsed { .. }) => {}
            Err(_) => self.failed(),
        }
        renewed
    }
}
