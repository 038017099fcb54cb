//! Wakes tasks that wait for a change of routes, databases or primaries.

use tokio::sync::watch;
use tokio::time::Instant;

/// Notifies of changes; every waiter is woken by each of them.
#[derive(Debug)]
pub struct Changes {
    version: watch::Sender<u64>,
}

impl Default for Changes {
    fn default() -> Self {
        Self {
            version: watch::Sender::new(0),
        }
    }
}

impl Changes {
    /// Wakes all who wait: routes, databases or a primary changed.
    pub fn notify(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Waits for the next change, at most until `until`.
    pub async fn next(&self, until: Instant) {
        let mut version = self.version.subscribe();
        // Both a change and the end of the wait are fine.
        let _ = tokio::time::timeout_at(until, version.changed()).await;
    }
}
