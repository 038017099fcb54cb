//! When a read that is still unanswered is also sent to another database (hedging), and how long a
//! connection is kept for an answer that arrives too late.

use std::time::Duration;

use crate::decision::retry::RETRY_PAUSE;

/// Longest wait for an answer before a read is also sent to another database.
pub const HEDGE_DELAY: Duration = Duration::from_millis(350);
/// How long after a statement's deadline its connection still waits for the answer, so that the connection
/// can be used again. An answer may never arrive, and a connection that waits for one is missing from its
/// pool: without this limit four lost answers used up a pool, and a node refused 2,328 statements in 22 s.
pub const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// How long a read with this number of `running` attempts waits for one to end before it starts another.
pub fn wait_for_answer(running: usize) -> Duration {
    match running {
        0 => RETRY_PAUSE,
        _ => HEDGE_DELAY,
    }
}
