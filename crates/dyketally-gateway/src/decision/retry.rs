//! What is sent again, how often, and after which pause.
//!
//! A statement that was not run is always sent again while there is time. One whose answer was lost may
//! have run: a read is simply run again, a write never, and a transaction is begun anew as long as only
//! its first statement was sent, since nothing of it is kept before it commits.

use std::time::Duration;

use dyketally::statement::{FailureKind, TransactionState};

use crate::decision::Operation;

/// Pause before a statement that was not run is sent again. Not measured.
pub const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Attempts of one read, at most: a bound on what one statement may cost. Not measured.
pub const ATTEMPTS_AT_MOST: u32 = 12;
/// Attempts of one read that wait for answers at one time: as many as most groups have databases. Not
/// measured.
pub const RUNNING_AT_MOST: usize = 3;

/// Attempts of a read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// All that were made.
    pub made: u32,
    /// Those that still wait for a connection or an answer.
    pub running: usize,
}

/// True when a read may make one more attempt beside those that run.
pub fn may_add(attempts: Attempts) -> bool {
    attempts.running < RUNNING_AT_MOST && attempts.made < ATTEMPTS_AT_MOST
}

/// Extra pause of a read whose attempt ended with `refusal`: a database that has no slot free gets a
/// moment. Writes and transactions always pause for [`RETRY_PAUSE`].
pub fn pause_of_read_after(refusal: FailureKind) -> Option<Duration> {
    (refusal == FailureKind::Busy).then(|| RETRY_PAUSE / 2)
}

/// What becomes of a statement whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterLoss {
    /// It is sent again.
    SendAgain,
    /// It isn't, and the caller is told that it may have run.
    InDoubt,
}

/// Whether a statement is sent again whose answer was lost.
pub fn after_loss(operation: Operation) -> AfterLoss {
    match operation {
        Operation::Read | Operation::FirstOfTransaction => AfterLoss::SendAgain,
        Operation::Write => AfterLoss::InDoubt,
    }
}

/// True when a statement of a transaction that is open at a database is sent again there: the database
/// was too busy to run it, and giving up would waste what the transaction has done. `time_left` is the
/// time until the statement is given up.
pub fn repeats_in_transaction(
    refusal: Option<FailureKind>,
    state: TransactionState,
    time_left: Duration,
) -> bool {
    let is_busy = refusal == Some(FailureKind::Busy);
    is_busy && state == TransactionState::Open && time_left > RETRY_PAUSE
}
