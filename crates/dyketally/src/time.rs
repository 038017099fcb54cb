//! Points in time for code without a clock: the caller passes them in.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the caller's monotonic clock, in microseconds since an arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// The greatest timestamp, which the clock never reaches.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The point `microseconds` after the start of the clock.
    pub const fn from_micros(microseconds: u64) -> Self {
        Timestamp(microseconds)
    }

    /// The point `milliseconds` after the start of the clock.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Timestamp(milliseconds * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero when `earlier` lies in the future.
    pub fn saturating_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(microseconds))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(microseconds))
    }
}
