//! Keeps requests apart.

use std::time::Duration;

use crate::time::Timestamp;

/// Sends no more than one batch and then as many requests as the interval gives time for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    next: Timestamp,
}

impl Pacer {
    /// Time until the next batch may be sent; zero when it may be sent now.
    pub fn wait(&self, now: Timestamp) -> Duration {
        self.next.saturating_since(now)
    }

    /// Records that `requests` are sent now, which lie `interval` apart on average.
    pub fn sent(&mut self, now: Timestamp, requests: u32, interval: Duration) {
        let begins = self.next.max(now);
        self.next = begins + interval.saturating_mul(requests);
    }
}
