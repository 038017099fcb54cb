//! Signal that wakes tasks waiting for a change of routes, databases or primaries.

use tokio::sync::watch;
use tokio::time::Instant;

/// Notifies tasks of changes. Each change wakes all tasks that wait.
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
    /// Wakes all waiting tasks, as routes, databases or a primary have changed.
    pub fn notify(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Waits for the next change, at most until `until`.
    pub async fn next(&self, until: Instant) {
        let mut version = self.version.subscribe();
        // The result is dropped: callers check again after a change and at the deadline alike.
        let _ = tokio::time::timeout_at(until, version.changed()).await;
    }
}
