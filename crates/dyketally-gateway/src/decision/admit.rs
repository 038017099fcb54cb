//! How long a statement waits behind others for a connection to a database.
//!
//! Where the queue has stood for a while, a statement that joins it would be late: what is refused at once can
//! come back in time. A queue that was empty a moment ago evens out a burst, and is worth waiting in.
//! `dyketally::admission::Gate` tells the two apart.

use std::time::Duration;

use dyketally::admission::Patience;

/// Share of the route's objective for which a statement waits in a queue that stands. Share of the worth of
/// all requests that was earned on a small fleet, mean of 17 days under faults and load: 0.9114 with a
/// quarter, 0.9197 with an eighth, 0.9194 with 0.06 (`docs/measurements/overload-and-faults.md`).
pub const STANDING_QUEUE_SHARE: f64 = 0.125;
/// The same in a queue that evens out a burst. Against an eighth, two days under faults went from 0.892 to
/// 0.899 and from 0.932 to 0.936; a third fleet stayed within noise (the same page).
pub const BURST_QUEUE_SHARE: f64 = 0.5;
/// The shortest of these waits, so that routes with a short objective still outlast a few statements.
/// Not measured.
pub const SHORTEST_QUEUE: Duration = Duration::from_millis(50);

/// How long a statement waits for a connection on a route with this latency objective.
pub fn patience(objective: Duration) -> Patience {
    let share = |share: f64| objective.mul_f64(share).max(SHORTEST_QUEUE);
    Patience {
        burst: share(BURST_QUEUE_SHARE),
        standing: share(STANDING_QUEUE_SHARE),
    }
}
