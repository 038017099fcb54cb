//! Exponentially weighted moving average of durations.

use std::time::Duration;

/// Weight of the newest sample is one part in this many.
const SMOOTHING: u32 = 8;

/// A moving average in which each new sample counts for an eighth.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MovingAverage {
    value: Option<Duration>,
}

impl MovingAverage {
    /// Adds a sample; the first one is taken as it is.
    pub(super) fn record(&mut self, sample: Duration) {
        let value = match self.value {
            None => sample,
            Some(value) => (value * (SMOOTHING - 1) + sample) / SMOOTHING,
        };
        self.value = Some(value);
    }

    /// The average, or `None` before the first sample.
    pub(super) fn value(&self) -> Option<Duration> {
        self.value
    }
}
