//! The daemon's clock: turns `std` time into the timestamps the coordination parts take.

use std::sync::LazyLock;
use std::time::Instant;

use dyketally::time::Timestamp;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Now, on the monotonic clock of this process.
pub fn now() -> Timestamp {
    Timestamp::from_micros(START.elapsed().as_micros() as u64)
}
