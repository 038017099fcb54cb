//! Exponentially weighted moving averages of durations.

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

/// Mean deviations above the average that few samples exceed, as for retransmission timers.
const DEVIATIONS: u32 = 4;

/// Average of a duration that varies, with a bound that few samples exceed.
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
