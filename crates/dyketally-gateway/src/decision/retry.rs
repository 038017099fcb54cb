//! Which statements are retried, how often, and after which pause.
//!
//! A statement that has not run is retried until it is given up, see [`crate::decision::give_up`]. A
//! statement whose answer was lost may have run: a read is retried, a write never. A transaction is started
//! again if only its first statement was sent, since it has no effect before it commits.

use std::time::Duration;

use dyketally::statement::{FailureKind, TransactionState};

use crate::decision::Operation;

/// Pause before a write or a statement of a transaction is retried. Unless the transaction is already open
/// at a database, a change of routes or databases ends the pause early. A read that has no attempt running
/// waits this long before it looks for a database again; see also [`read_pause_after`].
pub const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Maximum number of attempts of one read: bounds the cost of a statement.
pub const MAX_ATTEMPTS: u32 = 12;
/// Maximum number of attempts of one read that wait for answers at the same time: the number of databases
/// that most groups have.
pub const MAX_RUNNING_ATTEMPTS: usize = 3;

/// Attempts of a read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// Number of attempts that were started.
    pub made: u32,
    /// Number of attempts that still wait for a connection or an answer.
    pub running: usize,
}

/// True when a read may start another attempt beside those that are running.
pub fn may_start_attempt(attempts: Attempts) -> bool {
    attempts.running < MAX_RUNNING_ATTEMPTS && attempts.made < MAX_ATTEMPTS
}

/// Pause of a read after an attempt that ended with `refusal`, before it starts another: half of
/// [`RETRY_PAUSE`] after `Busy`, so that a database without a free slot can free one, and none otherwise.
/// Writes and transactions pause for [`RETRY_PAUSE`] instead, whatever the refusal.
pub fn read_pause_after(refusal: FailureKind) -> Option<Duration> {
    (refusal == FailureKind::Busy).then(|| RETRY_PAUSE / 2)
}

/// What to do with a statement whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterLoss {
    /// The statement is retried.
    Retry,
    /// The statement isn't retried, and its caller is told that it may have run.
    InDoubt,
}

/// Decides whether a statement whose answer was lost is retried.
pub fn after_loss(operation: Operation) -> AfterLoss {
    match operation {
        Operation::Read | Operation::FirstOfTransaction => AfterLoss::Retry,
        Operation::Write => AfterLoss::InDoubt,
    }
}

/// True when a statement of a transaction that is open at a database is retried on the same connection: the
/// database was too busy to run it, and giving up would discard what the transaction has done so far.
/// `time_left` is the time until the statement is given up.
pub fn retries_in_transaction(
    refusal: Option<FailureKind>,
    state: TransactionState,
    time_left: Duration,
) -> bool {
    let is_busy = refusal == Some(FailureKind::Busy);
    is_busy && state == TransactionState::Open && time_left > RETRY_PAUSE
}
