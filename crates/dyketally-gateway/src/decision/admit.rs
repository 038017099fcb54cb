//! How long a statement waits behind others for a connection to a database.
//!
//! Where the queue has stood for a while, whoever joins it would be late: what is refused at once can
//! come back in time. A queue that was empty a moment ago evens out a burst, and is worth waiting in.
//! `dyketally::admission::Gate` tells the two apart.

use std::time::Duration;

use dyketally::admission::Patience;

/// Share of the route's objective for which a statement waits in a queue that stands. Measured on
/// rutaviva-prod, mean worth of 17 plays: a quarter 0.9114, an eighth 0.9197, 0.06 0.9194 (rounds m7, m9
/// and m11 of `docs/load-and-faults.md`).
pub const STANDING_QUEUE_SHARE: f64 = 0.125;
/// The same in a queue that evens out a burst. Measured against an eighth: huber-teile trouble-1 0.892 to
/// 0.899 and trouble-2 0.932 to 0.936, rutaviva-prod within noise (rounds m17 and e17).
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
