//! When a statement is given up before its deadline, and why.
//!
//! A statement that can't be served is refused at once instead of being held until its deadline: its caller
//! may reach another node, or retry once the load has dropped. The conditions are checked in the same order
//! for all operations; which of them apply depends on the operation, see [`after_attempt`].

use std::time::Duration;

use dyketally::statement::FailureKind;
use tokio::time::Instant;

use crate::decision::retry::RETRY_PAUSE;
use crate::decision::{Operation, Reason, wait};

/// Time before the deadline at which a statement that isn't running is given up, so that the refusal
/// arrives before the caller stops waiting.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(30);
/// Share of a route's latency objective after which a statement without a connection is refused. On a day
/// on which a group is short of connections for 8 s, this and shorter queues reduced late statements from
/// 431 to 103 (decision 0045).
pub const REFUSED_AFTER_SHARE: f64 = 0.4;

/// When a statement with this deadline is given up if it isn't running by then.
pub fn latest_start(deadline: Instant) -> Instant {
    deadline - ANSWER_RESERVE
}

/// Outcome of an attempt that gave no answer to the statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredAttempt {
    /// The statement has not run.
    NotRun(FailureKind),
    /// The answer was lost; the statement may have run.
    Lost,
    /// There was no database to send the statement to.
    NotStarted,
}

/// Whether the group has a primary that this node can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryState {
    /// The group has a usable primary.
    Usable,
    /// The group has no usable primary.
    Missing {
        /// Time since the first attempt of this outage that found no usable primary; zero if there was none.
        since_first: Duration,
    },
}

impl PrimaryState {
    fn is_unavailable(self) -> bool {
        matches!(self, Self::Missing { since_first } if wait::is_unavailable(since_first))
    }
}

/// Inputs of the rule, looked up only when the rule asks for them, since some take a pass over all
/// databases of the group. Lookups have no side effects.
pub trait GiveUpInputs {
    /// Time since the statement arrived.
    fn elapsed(&self) -> Duration;
    /// The route's latency objective.
    fn objective(&self) -> Duration;
    /// State of the group's primary.
    fn primary(&self) -> PrimaryState;
    /// True while any database of the group may serve the statement.
    fn any_database_may_serve(&self) -> bool;
    /// Number of attempts of the statement that are still running.
    fn running(&self) -> usize;
    /// True when a database that may serve the statement wasn't tried yet.
    fn has_untried_database(&self) -> bool;
}

/// What becomes of a statement after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AfterAttempt {
    /// Why the statement is given up; `None` when it goes on.
    pub give_up: Option<Reason>,
    /// True when the attempt counts as one that found no usable primary, see [`super::wait`].
    pub found_no_primary: bool,
}

/// Why a statement that was refused for `refusal` won't be served in time by waiting longer; `None` when it
/// may be.
fn final_refusal(refusal: FailureKind, elapsed: Duration, objective: Duration) -> Option<Reason> {
    let is_late = elapsed >= objective.mul_f64(REFUSED_AFTER_SHARE);
    match refusal {
        FailureKind::QueueTooLong => Some(Reason::QueueTooLong),
        FailureKind::NotServedHere => Some(Reason::DatabaseMayNotServe),
        FailureKind::DatabaseCold => Some(Reason::DatabaseCold),
        FailureKind::NoConnection | FailureKind::Overloaded if is_late => {
            Some(Reason::NoFreeConnection)
        }
        _ => None,
    }
}

/// Decides after an attempt whether the statement is given up. The conditions, in order:
///
/// 1. The refusal shows that waiting longer won't help.
/// 2. No database of the group may serve the statement.
/// 3. The group has had no usable primary for too long.
///
/// Conditions 1 and 3 don't end the statement while another attempt runs or an untried database may serve
/// it.
///
/// Which conditions are checked depends on the operation. A write can only go to the primary, and finds
/// condition 2 when it looks for the primary. A read checks condition 2 only when there was no database to
/// send it to; it skips condition 3 when condition 1 holds or the answer was lost. The first statement of a
/// transaction checks all three after each attempt.
pub fn after_attempt(
    operation: Operation,
    attempt: UnansweredAttempt,
    inputs: &impl GiveUpInputs,
) -> AfterAttempt {
    let final_refusal = match attempt {
        UnansweredAttempt::NotRun(refusal) => {
            final_refusal(refusal, inputs.elapsed(), inputs.objective())
        }
        UnansweredAttempt::Lost | UnansweredAttempt::NotStarted => None,
    };
    match (operation, attempt) {
        (_, UnansweredAttempt::NotStarted) => after_no_database(inputs),
        (Operation::Read | Operation::Write, UnansweredAttempt::Lost) => AfterAttempt::CONTINUE,
        (Operation::Read | Operation::Write, UnansweredAttempt::NotRun(_)) => match final_refusal {
            Some(_) if has_alternative(inputs) => AfterAttempt::CONTINUE,
            Some(reason) => AfterAttempt::give_up(reason),
            None => after_primary_check(inputs),
        },
        (Operation::FirstOfTransaction, _) => match final_refusal {
            Some(reason) if !has_alternative(inputs) => AfterAttempt::give_up(reason),
            _ if !inputs.any_database_may_serve() => AfterAttempt::give_up(Reason::NothingMayServe),
            _ => after_primary_check(inputs),
        },
    }
}

fn has_alternative(inputs: &impl GiveUpInputs) -> bool {
    inputs.running() > 0 || inputs.has_untried_database()
}

/// Decides whether a statement is given up for which there was no database. None of its attempts runs then,
/// and no database is left untried.
fn after_no_database(inputs: &impl GiveUpInputs) -> AfterAttempt {
    match inputs.any_database_may_serve() {
        false => AfterAttempt::give_up(Reason::NothingMayServe),
        true => {
            let primary = inputs.primary();
            let gives_up = primary.is_unavailable();
            AfterAttempt::with_primary(primary, gives_up)
        }
    }
}

fn after_primary_check(inputs: &impl GiveUpInputs) -> AfterAttempt {
    let primary = inputs.primary();
    let gives_up = primary.is_unavailable() && !has_alternative(inputs);
    AfterAttempt::with_primary(primary, gives_up)
}

impl AfterAttempt {
    const CONTINUE: Self = Self {
        give_up: None,
        found_no_primary: false,
    };

    fn give_up(reason: Reason) -> Self {
        Self {
            give_up: Some(reason),
            found_no_primary: false,
        }
    }

    fn with_primary(primary: PrimaryState, gives_up: bool) -> Self {
        Self {
            give_up: gives_up.then_some(Reason::PrimaryUnavailable),
            found_no_primary: primary != PrimaryState::Usable,
        }
    }
}

/// Why a write is given up that found no primary before the wait limit. `is_lasting` tells whether no
/// database may serve it until the configuration changes. With [`Reason::NoPrimaryInTime`] the attempt
/// counts as one that found no usable primary.
pub fn no_primary_reason(is_lasting: bool) -> Reason {
    match is_lasting {
        true => Reason::NothingMayServe,
        false => Reason::NoPrimaryInTime,
    }
}

/// Current time and deadline of a statement.
#[derive(Clone, Copy, Debug)]
pub struct Time {
    /// Current time.
    pub now: Instant,
    /// When the statement must be answered.
    pub deadline: Instant,
}

/// Why a statement is given up for lack of time when it is about to pause. A read goes on up to its
/// deadline while any of its `running` attempts may be answered. A write or the first statement of a
/// transaction is given up if its pause would end after its latest start; an attempt in progress ends at
/// the deadline.
pub fn out_of_time(operation: Operation, time: Time, running: usize) -> Option<Reason> {
    let Time { now, deadline } = time;
    let latest_start = latest_start(deadline);
    match operation {
        Operation::Read if now >= deadline => Some(Reason::DeadlinePassed),
        Operation::Read => (running == 0 && now >= latest_start).then_some(Reason::TimeUsedUp),
        Operation::Write | Operation::FirstOfTransaction => {
            (now + RETRY_PAUSE >= latest_start).then_some(Reason::TimeUsedUp)
        }
    }
}
