//! Exponentially weighted moving averages of durations.

use std::time::Duration;

/// A new sample has the weight 1/`SMOOTHING` in the average.
const SMOOTHING: u32 = 8;

/// An exponentially weighted moving average, with the weight 1/[`SMOOTHING`] for each new sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MovingAverage {
    value: Option<Duration>,
}

impl MovingAverage {
    /// Adds a sample. The first sample becomes the average.
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

/// Number of mean deviations above the average at which the upper bound lies, as in TCP retransmission timers.
const DEVIATIONS: u32 = 4;

/// The average of a varying duration, and an upper bound that few samples exceed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    average: MovingAverage,
    deviation: MovingAverage,
}

impl Estimate {
    /// Adds a sample.
    pub(super) fn record(&mut self, sample: Duration) {
        if let Some(average) = self.average.value() {
            self.deviation.record(average.abs_diff(sample));
        }
        self.average.record(sample);
    }

    /// The average, or `None` before the first sample.
    pub(super) fn average(&self) -> Option<Duration> {
        self.average.value()
    }

    /// A duration that few samples exceed; zero before the first sample.
    pub(super) fn upper(&self) -> Duration {
        let deviation = self.deviation.value().unwrap_or_default();
        self.average.value().unwrap_or_default() + deviation * DEVIATIONS
    }
}
