//! When another database is asked beside one that doesn't answer a read, and how long an answer that
//! nobody waits for any more may still come.

use std::time::Duration;

use crate::decision::retry::RETRY_PAUSE;

/// Longest wait for an answer before another database is asked as well. Not measured.
pub const HEDGE_AT_MOST: Duration = Duration::from_millis(350);
/// How long an answer that nobody waits for any more is waited for after the statement's deadline, to
/// keep its connection. An answer may never come, and each connection that waits for one is missing from
/// its pool: without a limit four lost answers used up a pool, and a node refused 2,328 statements in
/// 22 s. The length isn't measured.
pub const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// How long a read waits for the end of one of its `running` attempts before it tries another one.
pub fn wait_for_answer(running: usize) -> Duration {
    match running {
        0 => RETRY_PAUSE,
        _ => HEDGE_AT_MOST,
    }
}
