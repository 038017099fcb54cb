//! How long a statement waits in the queue for a connection to a database.
//!
//! A statement that joins a standing queue, one that hasn't been empty for a while, would be late; refused
//! at once, it can be retried in time. A queue that was empty a moment ago evens out a burst and is worth
//! waiting in. `dyketally::admission::Gate` tells the two kinds of queue apart.

use std::time::Duration;

use dyketally::admission::QueueTimeouts;

/// Queue timeout in a standing queue, as a share of the route's latency objective. Share of the value of
/// all requests that a small fleet earned, mean of 17 days under faults and load: 0.9114 with 0.25, 0.9197
/// with 0.125, 0.9194 with 0.06 (`docs/measurements/overload-and-faults.md`).
pub const STANDING_QUEUE_SHARE: f64 = 0.125;
/// Queue timeout in a queue that evens out a burst, as a share of the route's latency objective. Compared
/// with 0.125, the share of value earned rose from 0.892 to 0.899 and from 0.932 to 0.936 on two days under
/// faults, and stayed within noise on a third fleet (`docs/measurements/overload-and-faults.md`).
pub const BURST_QUEUE_SHARE: f64 = 0.5;
/// Lower bound of the queue timeouts, so that a statement on a route with a short objective can still wait
/// for a few others.
pub const MIN_QUEUE_TIMEOUT: Duration = Duration::from_millis(50);

/// Queue timeouts of a statement on a route with this latency objective.
pub fn queue_timeouts(objective: Duration) -> QueueTimeouts {
    let share = |share: f64| objective.mul_f64(share).max(MIN_QUEUE_TIMEOUT);
    QueueTimeouts {
        burst: share(BURST_QUEUE_SHARE),
        standing: share(STANDING_QUEUE_SHARE),
    }
}
