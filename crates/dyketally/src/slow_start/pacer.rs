//! Spaces the requests of one node to a cold database.

use std::time::Duration;

use crate::time::Timestamp;

/// Spaces batches so that the requests sent in any period are at most one batch plus one request per interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    next: Timestamp,
}

impl Pacer {
    /// Time until the next batch may be sent; zero when it may be sent now.
    pub fn wait(&self, now: Timestamp) -> Duration {
        self.next.saturating_since(now)
    }

    /// Records that a batch of `requests` is sent now; each request occupies one `interval`.
    pub fn record_sent(&mut self, now: Timestamp, requests: u32, interval: Duration) {
        let start = self.next.max(now);
        self.next = start + interval.saturating_mul(requests);
    }
}
