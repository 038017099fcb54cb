//! Counts requests by outcome and finds the longest time without an acknowledged write.

use std::fmt;
use std::time::Duration;

use crate::testbed::{RequestKind, Sample, SampleOutcome};

/// Requests of a run by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Answered.
    pub done: usize,
    /// Not run.
    pub not_run: usize,
    /// May have been run.
    pub unknown: usize,
    /// Transactions rolled back.
    pub rolled_back: usize,
    /// Refused with an error of the database or proxy.
    pub errors: usize,
    /// Writes among those that were answered.
    pub writes_done: usize,
    /// The longest time without an acknowledged write.
    pub longest_write_gap: Duration,
    /// When it began, since the start of the history.
    pub gap_began: Duration,
}

impl Outcomes {
    /// Counts samples, which are in the order in which they ended. The callers were stopped at
    /// `stopped`; what ends later is counted, but makes no gap.
    pub fn of_samples(samples: &[Sample], stopped: Duration) -> Self {
        let mut outcomes = Self::default();
        let mut last_write = samples.iter().map(|sample| sample.began).min();
        for sample in samples {
            outcomes.count(sample.outcome);
            if is_acknowledged_write(sample) {
                outcomes.writes_done += 1;
                outcomes.note_gap(last_write, sample.ended.min(stopped));
                last_write = Some(sample.ended);
            }
        }
        outcomes.note_gap(last_write, stopped);
        outcomes
    }

    fn note_gap(&mut self, began: Option<Duration>, ended: Duration) {
        let began = began.unwrap_or_default();
        let gap = ended.saturating_sub(began);
        if gap > self.longest_write_gap {
            self.longest_write_gap = gap;
            self.gap_began = began;
        }
    }

    fn count(&mut self, outcome: SampleOutcome) {
        let counter = match outcome {
            SampleOutcome::Done => &mut self.done,
            SampleOutcome::NotRun => &mut self.not_run,
            SampleOutcome::Unknown => &mut self.unknown,
            SampleOutcome::RolledBack => &mut self.rolled_back,
            SampleOutcome::Refused => &mut self.errors,
        };
        *counter += 1;
    }
}

fn is_acknowledged_write(sample: &Sample) -> bool {
    sample.kind == RequestKind::Write && sample.outcome == SampleOutcome::Done
}

impl fmt::Display for Outcomes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            done,
            not_run,
            unknown,
            rolled_back,
            errors,
            writes_done,
            longest_write_gap,
            gap_began,
        } = self;
        let gap_began = gap_began.as_secs_f64();
        let gap = longest_write_gap.as_millis();
        write!(
            formatter,
            "{done} done ({writes_done} writes), {not_run} not run, {unknown} unknown, \
             {rolled_back} rolled back, {errors} errors, longest write gap {gap} ms from {gap_began:.1} s"
        )
    }
}
