//! When a statement is given up, and in which order that is asked.

use std::time::Duration;

use dyketally::statement::FailureKind;
use dyketally_gateway::decision::Operation::{self, FirstOfTransaction, Read, Write};
use dyketally_gateway::decision::Reason;
use dyketally_gateway::decision::give_up::{
    ANSWER_RESERVE, Attempt, Circumstances, Primary, Time, after_attempt, latest_start,
    out_of_time, without_primary,
};
use dyketally_gateway::decision::retry::RETRY_PAUSE;
use rstest::rstest;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(1_000);
const LONG: Duration = Duration::from_millis(1_500);

/// What is known, as a table.
#[derive(Clone, Copy, Debug)]
struct Known {
    elapsed: Duration,
    objective: Duration,
    primary: Primary,
    something_may_serve: bool,
    running: usize,
    has_untried: bool,
}

impl Circumstances for Known {
    fn elapsed(&self) -> Duration {
        self.elapsed
    }

    fn objective(&self) -> Duration {
        self.objective
    }

    fn primary(&self) -> Primary {
        self.primary
    }

    fn something_may_serve(&self) -> bool {
        self.something_may_serve
    }

    fn running(&self) -> usize {
        self.running
    }

    fn has_untried(&self) -> bool {
        self.has_untried
    }
}

/// Nothing speaks against going on: the primary is usable, and nothing else can be tried.
fn fine() -> Known {
    Known {
        elapsed: Duration::ZERO,
        objective: OBJECTIVE,
        primary: Primary::Usable,
        something_may_serve: true,
        running: 0,
        has_untried: false,
    }
}

fn late() -> Known {
    Known {
        elapsed: Duration::from_millis(400),
        ..fine()
    }
}

fn almost_late() -> Known {
    Known {
        elapsed: Duration::from_millis(399),
        ..fine()
    }
}

/// The group has had no usable primary for `since_first`.
fn missing(since_first: Duration) -> Known {
    Known {
        primary: Primary::Missing { since_first },
        ..fine()
    }
}

fn nothing_may_serve() -> Known {
    Known {
        something_may_serve: false,
        ..fine()
    }
}

fn with_untried(circumstances: Known) -> Known {
    Known {
        has_untried: true,
        ..circumstances
    }
}

fn with_running(circumstances: Known) -> Known {
    Known {
        running: 1,
        ..circumstances
    }
}

fn not_run(refusal: FailureKind) -> Attempt {
    Attempt::NotRun(refusal)
}

/// What holds for all operations.
#[rstest]
#[case::busy_goes_on(FailureKind::Busy, fine(), None)]
#[case::busy_goes_on_when_late(FailureKind::Busy, late(), None)]
#[case::read_only_goes_on(FailureKind::ReadOnly, late(), None)]
#[case::behind_goes_on(FailureKind::ReplicaBehind, late(), None)]
#[case::wrong_database_goes_on(FailureKind::WrongDatabase, late(), None)]
#[case::long_queue(FailureKind::QueueTooLong, fine(), Some(Reason::QueueTooLong))]
#[case::not_served(FailureKind::NotServedHere, fine(), Some(Reason::NotServedThere))]
#[case::cold(FailureKind::DatabaseCold, fine(), Some(Reason::DatabaseCold))]
#[case::no_connection_early(FailureKind::NoConnection, almost_late(), None)]
#[case::no_connection_late(FailureKind::NoConnection, late(), Some(Reason::ConnectionsShort))]
#[case::overloaded_early(FailureKind::Overloaded, almost_late(), None)]
#[case::overloaded_late(FailureKind::Overloaded, late(), Some(Reason::ConnectionsShort))]
#[case::no_primary_for_long(FailureKind::Busy, missing(LONG), Some(Reason::PrimaryUnavailable))]
#[case::no_primary_for_a_while(
    FailureKind::Busy,
    missing(LONG - Duration::from_millis(1)),
    None
)]
fn an_attempt_that_was_not_run(
    #[values(Read, Write, FirstOfTransaction)] operation: Operation,
    #[case] refusal: FailureKind,
    #[case] circumstances: Known,
    #[case] expected: Option<Reason>,
) {
    let verdict = after_attempt(operation, not_run(refusal), &circumstances);
    assert_eq!(verdict.give_up, expected);
}

/// While another database may serve it, neither a long queue nor a missing primary ends a statement.
#[rstest]
#[case::long_queue(FailureKind::QueueTooLong, fine())]
#[case::cold(FailureKind::DatabaseCold, fine())]
#[case::no_connection_late(FailureKind::NoConnection, late())]
#[case::no_primary_for_long(FailureKind::Busy, missing(LONG))]
fn an_alternative_keeps_it_going(
    #[values(Read, FirstOfTransaction)] operation: Operation,
    #[case] refusal: FailureKind,
    #[case] circumstances: Known,
) {
    let circumstances = with_untried(circumstances);
    let verdict = after_attempt(operation, not_run(refusal), &circumstances);
    assert_eq!(verdict.give_up, None);
}

#[rstest]
#[case(FailureKind::QueueTooLong, fine())]
#[case(FailureKind::Busy, missing(LONG))]
fn a_read_goes_on_while_an_attempt_runs(
    #[case] refusal: FailureKind,
    #[case] circumstances: Known,
) {
    let verdict = after_attempt(Read, not_run(refusal), &with_running(circumstances));
    assert_eq!(verdict.give_up, None);
}

/// Where the operations differ.
#[rstest]
#[case::read_doesnt_ask_whether_anything_may_serve(Read, None)]
#[case::write_doesnt_ask_whether_anything_may_serve(Write, None)]
#[case::transaction_asks(FirstOfTransaction, Some(Reason::NothingMayServe))]
fn nothing_may_serve_after_a_refusal(
    #[case] operation: Operation,
    #[case] expected: Option<Reason>,
) {
    let attempt = not_run(FailureKind::Busy);
    let verdict = after_attempt(operation, attempt, &nothing_may_serve());
    assert_eq!(verdict.give_up, expected);
}

/// A transaction asks whether anything may serve it only once its queue isn't too long; the reason tells
/// the first that holds.
#[rstest]
#[case::hopeless_first(nothing_may_serve(), Some(Reason::QueueTooLong))]
#[case::then_nothing_may_serve(with_untried(nothing_may_serve()), Some(Reason::NothingMayServe))]
#[case::then_the_primary(with_untried(missing(LONG)), None)]
fn a_transaction_asks_in_order(#[case] circumstances: Known, #[case] expected: Option<Reason>) {
    let attempt = not_run(FailureKind::QueueTooLong);
    let verdict = after_attempt(FirstOfTransaction, attempt, &circumstances);
    assert_eq!(verdict.give_up, expected);
}

/// After a lost answer only a transaction asks.
#[rstest]
#[case::read_goes_on(Read, missing(LONG), None)]
#[case::read_goes_on_though_nothing_may_serve(Read, nothing_may_serve(), None)]
#[case::transaction_asks_for_the_primary(
    FirstOfTransaction,
    missing(LONG),
    Some(Reason::PrimaryUnavailable)
)]
#[case::transaction_asks_whether_anything_may_serve(
    FirstOfTransaction,
    nothing_may_serve(),
    Some(Reason::NothingMayServe)
)]
#[case::transaction_goes_on(FirstOfTransaction, late(), None)]
fn a_lost_answer(
    #[case] operation: Operation,
    #[case] circumstances: Known,
    #[case] expected: Option<Reason>,
) {
    let verdict = after_attempt(operation, Attempt::Lost, &circumstances);
    assert_eq!(verdict.give_up, expected);
}

#[rstest]
#[case::goes_on(fine(), None)]
#[case::goes_on_when_late(late(), None)]
#[case::nothing_may_serve(nothing_may_serve(), Some(Reason::NothingMayServe))]
#[case::no_primary_for_long(missing(LONG), Some(Reason::PrimaryUnavailable))]
#[case::no_primary_for_a_while(missing(Duration::ZERO), None)]
fn a_read_without_a_database(#[case] circumstances: Known, #[case] expected: Option<Reason>) {
    let verdict = after_attempt(Read, Attempt::NotStarted, &circumstances);
    assert_eq!(verdict.give_up, expected);
}

/// Which attempts count as ones that found no usable primary, and so shorten the next wait for it.
#[rstest]
#[case::read(Read, not_run(FailureKind::Busy), missing(LONG), true)]
#[case::write(Write, not_run(FailureKind::Busy), missing(LONG), true)]
#[case::transaction(FirstOfTransaction, not_run(FailureKind::Busy), missing(LONG), true)]
#[case::read_with_alternative(Read, not_run(FailureKind::Busy), with_untried(missing(LONG)), true)]
#[case::read_that_is_hopeless_anyway(
    Read,
    not_run(FailureKind::QueueTooLong),
    missing(LONG),
    false
)]
#[case::write_that_is_hopeless_anyway(
    Write,
    not_run(FailureKind::QueueTooLong),
    missing(LONG),
    false
)]
#[case::transaction_that_is_hopeless(
    FirstOfTransaction,
    not_run(FailureKind::QueueTooLong),
    missing(LONG),
    false
)]
#[case::read_hopeless_with_alternative(
    Read,
    not_run(FailureKind::QueueTooLong),
    with_untried(missing(LONG)),
    false
)]
#[case::transaction_hopeless_with_alternative(
    FirstOfTransaction,
    not_run(FailureKind::QueueTooLong),
    with_untried(missing(LONG)),
    true
)]
#[case::read_lost(Read, Attempt::Lost, missing(LONG), false)]
#[case::transaction_lost(FirstOfTransaction, Attempt::Lost, missing(LONG), true)]
#[case::read_not_started(Read, Attempt::NotStarted, missing(LONG), true)]
#[case::usable(Read, Attempt::NotStarted, fine(), false)]
#[case::nothing_may_serve(Read, Attempt::NotStarted, nothing_may_serve(), false)]
fn attempts_that_missed_the_primary(
    #[case] operation: Operation,
    #[case] attempt: Attempt,
    #[case] circumstances: Known,
    #[case] expected: bool,
) {
    let verdict = after_attempt(operation, attempt, &circumstances);
    assert_eq!(verdict.missed_primary, expected);
}

#[rstest]
#[case::lasting(true, Reason::NothingMayServe)]
#[case::for_now(false, Reason::NoPrimaryInTime)]
fn a_write_without_primary(#[case] is_lasting: bool, #[case] expected: Reason) {
    assert_eq!(without_primary(is_lasting), expected);
}

/// A read waits out its pause and then looks at the time; the others look whether the pause still fits.
/// `left` is counted to the latest start.
#[rstest]
#[case::read_with_time(Read, 1, 0, None)]
#[case::read_at_its_latest_start(Read, 0, 0, Some(Reason::TimeUsedUp))]
#[case::read_that_runs(Read, 0, 1, None)]
#[case::read_that_runs_until_its_deadline(Read, -30, 1, Some(Reason::DeadlinePassed))]
#[case::read_past_its_deadline(Read, -30, 0, Some(Reason::DeadlinePassed))]
#[case::write_with_time(Write, 26, 0, None)]
#[case::write_whose_pause_doesnt_fit(Write, 25, 0, Some(Reason::TimeUsedUp))]
#[case::transaction_with_time(FirstOfTransaction, 26, 0, None)]
#[case::transaction_whose_pause_doesnt_fit(FirstOfTransaction, 25, 0, Some(Reason::TimeUsedUp))]
fn time(
    #[case] operation: Operation,
    #[case] left_ms: i64,
    #[case] running: usize,
    #[case] expected: Option<Reason>,
) {
    let start = Instant::now() + Duration::from_secs(60);
    let deadline = start + ANSWER_RESERVE;
    assert_eq!(latest_start(deadline), start);
    let left = Duration::from_millis(left_ms.unsigned_abs());
    let now = if left_ms < 0 {
        start + left
    } else {
        start - left
    };
    assert_eq!(
        out_of_time(operation, Time { now, deadline }, running),
        expected
    );
}

#[test]
fn figures() {
    assert_eq!(ANSWER_RESERVE, Duration::from_millis(30));
    assert_eq!(RETRY_PAUSE, Duration::from_millis(25));
}
