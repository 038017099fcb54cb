//! Divides a cold database's rate among its holders, the nodes that send to it.

use std::time::Duration;

use crate::tenant::OperationRate;

/// Greatest number of holders of a cold database. With three holders, the loss of one costs a third of the rate,
/// not all of it.
const MAX_HOLDERS: usize = 3;
/// Greatest number of requests in one batch: one opens a transaction, one runs the caller's statement, and one
/// ends the transaction.
pub const LARGEST_BATCH: u32 = 3;
/// Greatest assumed ratio between the rates of two nodes' clocks while a database is cold. Oscillators deviate by
/// a few hundred parts per million; the rest of the tolerance covers clocks that are being slewed.
const CLOCK_TOLERANCE: f64 = 1.05;
const SECOND: Duration = Duration::from_secs(1);
/// Longest interval between two requests, used where the budget leaves less than one request per interval.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// How far the number of requests in one second may exceed the rate: up to `overrun * rate + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    /// Factor by which the rate is multiplied.
    pub overrun: f64,
    /// Number of requests added to the multiplied rate.
    pub slack: f64,
}

/// A cold database's rate, divided among its holders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Number of holders: the nodes that come first in the database's ranking of the nodes.
    pub holders: usize,
    /// Average time between two requests of one holder.
    pub interval: Duration,
}

impl Budget {
    /// Divides `rate` so that no second has more requests than `margin` allows.
    ///
    /// A holder that keeps its interval sends, in any second, at most its part of the rate plus one batch of
    /// [`LARGEST_BATCH`] requests, so each holder costs the margin one batch. The result has the number of
    /// holders, up to [`MAX_HOLDERS`], that leaves the greatest total rate; of equal ones, the greatest.
    pub fn for_rate(rate: OperationRate, margin: Margin) -> Self {
        let rate = rate.millionths_in(SECOND) as f64 / 1e6;
        let allowed = rate * margin.overrun + margin.slack;
        let total_rate = |holders: usize| {
            let batches = f64::from(LARGEST_BATCH) * holders as f64;
            rate.min((allowed - batches) / CLOCK_TOLERANCE)
        };
        // `max_by` returns the last of several equal elements: the greatest number of holders.
        let best = (1..=MAX_HOLDERS)
            .max_by(|one, other| total_rate(*one).total_cmp(&total_rate(*other)))
            .unwrap_or(1);
        let holder_rate = total_rate(best) / best as f64;
        let interval = match holder_rate > MAX_INTERVAL.as_secs_f64().recip() {
            true => Duration::from_secs_f64(holder_rate.recip()),
            false => MAX_INTERVAL,
        };
        Self {
            holders: best,
            interval,
        }
    }
}
