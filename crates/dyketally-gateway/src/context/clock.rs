//! The process's monotonic clock.

use dyketally::time::Timestamp;
use tokio::time::Instant;

/// Measures time from the start of the process, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// When the process started.
    pub fn started(&self) -> Instant {
        self.started
    }
}
