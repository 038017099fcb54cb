//! When a statement is given up before its time is over, and why.
//!
//! What can't be served is refused at once rather than held until its deadline: the caller may reach
//! another node, or come back when the load is over. The questions are asked in one order for all
//! operations; which of them are asked at all differs, see [`after_attempt`].

use std::time::Duration;

use dyketally::statement::FailureKind;
use tokio::time::Instant;

use crate::decision::retry::RETRY_PAUSE;
use crate::decision::{Operation, Reason, wait};

/// Left of the statement's time when a statement that isn't running is given up, so that the refusal
/// arrives before the caller stops waiting. Not measured.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(30);
/// Share of a route's objective after which a statement that found no connection is refused. Measured
/// together with shorter queues, on a day on which a group is short of connections for 8 s: 431 late
/// statements to 103 (decision 0045).
pub const REFUSED_AFTER_SHARE: f64 = 0.4;

/// When a statement with this deadline is given up if it isn't running by then.
pub fn latest_start(deadline: Instant) -> Instant {
    deadline - ANSWER_RESERVE
}

/// How an attempt ended that didn't answer the statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The statement was not run.
    NotRun(FailureKind),
    /// Its answer was lost.
    Lost,
    /// There was no database to send it to.
    NotStarted,
}

/// Whether the group has a primary that this node can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Primary {
    /// It has.
    Usable,
    /// It has none.
    Missing {
        /// Time since the first of the attempts that found none; zero if there was none before.
        since_first: Duration,
    },
}

impl Primary {
    fn is_unavailable(self) -> bool {
        matches!(self, Self::Missing { since_first } if wait::is_unavailable(since_first))
    }
}

/// What is known as an attempt has ended. Some of it costs a look at all databases of the group, so that
/// the rule asks only for what it needs; asking changes nothing.
pub trait Circumstances {
    /// Time since the statement arrived.
    fn elapsed(&self) -> Duration;
    /// The route's latency objective.
    fn objective(&self) -> Duration;
    /// The group's primary.
    fn primary(&self) -> Primary;
    /// True while some database of the group may serve the statement.
    fn something_may_serve(&self) -> bool;
    /// Attempts of the statement that still run.
    fn running(&self) -> usize;
    /// True when a database that wasn't tried may serve the statement as well.
    fn has_untried(&self) -> bool;
}

/// What becomes of the statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Set when it is given up.
    pub give_up: Option<Reason>,
    /// True when the attempt is one more that found no usable primary; see [`super::wait`].
    pub missed_primary: bool,
}

/// Why waiting longer won't get a statement served in time whose attempt was refused for `refusal`.
fn hopeless(refusal: FailureKind, elapsed: Duration, objective: Duration) -> Option<Reason> {
    let is_late = elapsed >= objective.mul_f64(REFUSED_AFTER_SHARE);
    match refusal {
        FailureKind::QueueTooLong => Some(Reason::QueueTooLong),
        FailureKind::NotServedHere => Some(Reason::NotServedThere),
        FailureKind::DatabaseCold => Some(Reason::DatabaseCold),
        FailureKind::NoConnection | FailureKind::Overloaded if is_late => {
            Some(Reason::ConnectionsShort)
        }
        _ => None,
    }
}

/// Whether a statement is given up after an attempt. In this order:
///
/// 1. Is waiting hopeless, by what the attempt was refused for?
/// 2. May no database of the group serve it?
/// 3. Has the group had no usable primary for too long?
///
/// 1 and 3 don't end it while another attempt runs, or a database that wasn't tried may serve it.
///
/// The operations differ in what they ask. A write has only the primary to go to, and learns of 2 when it
/// looks for that. A read asks for 2 only when there was no database to send it to; and it doesn't ask
/// for 3 once 1 holds, nor after a lost answer. A transaction asks for all three after each attempt.
pub fn after_attempt(
    operation: Operation,
    attempt: Attempt,
    circumstances: &impl Circumstances,
) -> Verdict {
    let hopeless = match attempt {
        Attempt::NotRun(refusal) => {
            hopeless(refusal, circumstances.elapsed(), circumstances.objective())
        }
        Attempt::Lost | Attempt::NotStarted => None,
    };
    match (operation, attempt) {
        (_, Attempt::NotStarted) => without_database(circumstances),
        (Operation::Read | Operation::Write, Attempt::Lost) => Verdict::GO_ON,
        (Operation::Read | Operation::Write, Attempt::NotRun(_)) => match hopeless {
            Some(_) if has_alternative(circumstances) => Verdict::GO_ON,
            Some(reason) => Verdict::give_up(reason),
            None => by_primary(circumstances),
        },
        (Operation::FirstOfTransaction, _) => match hopeless {
            Some(reason) if !has_alternative(circumstances) => Verdict::give_up(reason),
            _ if !circumstances.something_may_serve() => Verdict::give_up(Reason::NothingMayServe),
            _ => by_primary(circumstances),
        },
    }
}

fn has_alternative(circumstances: &impl Circumstances) -> bool {
    circumstances.running() > 0 || circumstances.has_untried()
}

/// Whether a statement is given up that there was no database to send to. Nothing of it runs then, and no
/// database is left to try.
fn without_database(circumstances: &impl Circumstances) -> Verdict {
    match circumstances.something_may_serve() {
        false => Verdict::give_up(Reason::NothingMayServe),
        true => {
            let primary = circumstances.primary();
            let gives_up = primary.is_unavailable();
            Verdict::of_primary(primary, gives_up)
        }
    }
}

fn by_primary(circumstances: &impl Circumstances) -> Verdict {
    let primary = circumstances.primary();
    let gives_up = primary.is_unavailable() && !has_alternative(circumstances);
    Verdict::of_primary(primary, gives_up)
}

impl Verdict {
    const GO_ON: Self = Self {
        give_up: None,
        missed_primary: false,
    };

    fn give_up(reason: Reason) -> Self {
        Self {
            give_up: Some(reason),
            missed_primary: false,
        }
    }

    fn of_primary(primary: Primary, gives_up: bool) -> Self {
        Self {
            give_up: gives_up.then_some(Reason::PrimaryUnavailable),
            missed_primary: primary != Primary::Usable,
        }
    }
}

/// Why a write is given up that found no primary within the time that it waits for one: `is_lasting`
/// when no database may serve it before the configuration changes. With [`Reason::NoPrimaryInTime`] it
/// is one more attempt that missed the primary.
pub fn without_primary(is_lasting: bool) -> Reason {
    match is_lasting {
        true => Reason::NothingMayServe,
        false => Reason::NoPrimaryInTime,
    }
}

/// The statement's time.
#[derive(Clone, Copy, Debug)]
pub struct Time {
    /// Now.
    pub now: Instant,
    /// When it must be answered.
    pub deadline: Instant,
}

/// Whether a statement's time is over, as it is about to pause. A read goes on while one of its
/// `running` attempts may be answered, up to its deadline. A write or transaction whose pause would end
/// after its latest start is given up before the pause; its attempts end at the deadline by themselves.
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
