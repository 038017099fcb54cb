//! When a statement is given up, and in which order the conditions are checked.

use std::time::Duration;

use dyketally::statement::FailureKind;
use dyketally_gateway::decision::Operation::{self, FirstOfTransaction, Read, Write};
use dyketally_gateway::decision::Reason;
use dyketally_gateway::decision::give_up::{
    ANSWER_RESERVE, GiveUpInputs, PrimaryState, Time, UnansweredAttempt, after_attempt,
    latest_start, no_primary_reason, out_of_time,
};
use dyketally_gateway::decision::retry::RETRY_PAUSE;
use rstest::rstest;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(1_000);
const LONG: Duration = Duration::from_millis(1_500);

/// Inputs of the rule with fixed values.
#[derive(Clone, Copy, Debug)]
struct FixedInputs {
    elapsed: Duration,
    objective: Duration,
    primary: PrimaryState,
    any_database_may_serve: bool,
    running: usize,
    has_untried_database: bool,
}

impl GiveUpInputs for FixedInputs {
    fn elapsed(&self) -> Duration {
        self.elapsed
    }

    fn objective(&self) -> Duration {
        self.objective
    }

    fn primary(&self) -> PrimaryState {
        self.primary
    }

    fn any_database_may_serve(&self) -> bool {
        self.any_database_may_serve
    }

    fn running(&self) -> usize {
        self.running
    }

    fn has_untried_database(&self) -> bool {
        self.has_untried_database
    }
}

/// Inputs with no reason to give up: the primary is usable. No other database can be tried.
fn fine() -> FixedInputs {
    FixedInputs {
        elapsed: Duration::ZERO,
        objective: OBJECTIVE,
        primary: PrimaryState::Usable,
        any_database_may_serve: true,
        running: 0,
        has_untried_database: false,
    }
}

fn late() -> FixedInputs {
    FixedInputs {
        elapsed: Duration::from_millis(400),
        ..fine()
    }
}

fn almost_late() -> FixedInputs {
    FixedInputs {
        elapsed: Duration::from_millis(399),
        ..fine()
    }
}

/// The group has had no usable primary for `since_first`.
fn missing(since_first: Duration) -> FixedInputs {
    FixedInputs {
        primary: PrimaryState::Missing { since_first },
        ..fine()
    }
}

fn nothing_may_serve() -> FixedInputs {
    FixedInputs {
        any_database_may_serve: false,
        ..fine()
    }
}

fn with_untried(inputs: FixedInputs) -> FixedInputs {
    FixedInputs {
        has_untried_database: true,
        ..inputs
    }
}

fn with_running(inputs: FixedInputs) -> FixedInputs {
    FixedInputs {
        running: 1,
        ..inputs
    }
}

fn not_run(refusal: FailureKind) -> UnansweredAttempt {
    UnansweredAttempt::NotRun(refusal)
}

/// Cases that have the same result for all operations.
#[rstest]
#[case::busy_goes_on(FailureKind::Busy, fine(), None)]
#[case::busy_goes_on_when_late(FailureKind::Busy, late(), None)]
#[case::read_only_goes_on(FailureKind::ReadOnly, late(), None)]
#[case::behind_goes_on(FailureKind::ReplicaBehind, late(), None)]
#[case::wrong_database_goes_on(FailureKind::WrongDatabase, late(), None)]
#[case::long_queue(FailureKind::QueueTooLong, fine(), Some(Reason::QueueTooLong))]
#[case::not_served(FailureKind::NotServedHere, fine(), Some(Reason::DatabaseMayNotServe))]
#[case::cold(FailureKind::DatabaseCold, fine(), Some(Reason::DatabaseCold))]
#[case::no_connection_early(FailureKind::NoConnection, almost_late(), None)]
#[case::no_connection_late(FailureKind::NoConnection, late(), Some(Reason::NoFreeConnection))]
#[case::overloaded_early(FailureKind::Overloaded, almost_late(), None)]
#[case::overloaded_late(FailureKind::Overloaded, late(), Some(Reason::NoFreeConnection))]
#[case::no_primary_for_long(FailureKind::Busy, missing(LONG), Some(Reason::PrimaryUnavailable))]
#[case::no_primary_for_a_while(
    FailureKind::Busy,
    missing(LONG - Duration::from_millis(1)),
    None
)]
fn an_attempt_that_was_not_run(
    #[values(Read, Write, FirstOfTransaction)] operation: Operation,
    #[case] refusal: FailureKind,
    #[case] inputs: FixedInputs,
    #[case] expected: Option<Reason>,
) {
    let after = after_attempt(operation, not_run(refusal), &inputs);
    assert_eq!(after.give_up, expected);
}

/// While another database may serve the statement, neither a long queue nor a missing primary ends it.
#[rstest]
#[case::long_queue(FailureKind::QueueTooLong, fine())]
#[case::cold(FailureKind::DatabaseCold, fine())]
#[case::no_connection_late(FailureKind::NoConnection, late())]
#[case::no_primary_for_long(FailureKind::Busy, missing(LONG))]
fn an_alternative_keeps_it_going(
    #[values(Read, FirstOfTransaction)] operation: Operation,
    #[case] refusal: FailureKind,
    #[case] inputs: FixedInputs,
) {
    let inputs = with_untried(inputs);
    let after = after_attempt(operation, not_run(refusal), &inputs);
    assert_eq!(after.give_up, None);
}

#[rstest]
#[case(FailureKind::QueueTooLong, fine())]
#[case(FailureKind::Busy, missing(LONG))]
fn a_read_goes_on_while_an_attempt_runs(#[case] refusal: FailureKind, #[case] inputs: FixedInputs) {
    let after = after_attempt(Read, not_run(refusal), &with_running(inputs));
    assert_eq!(after.give_up, None);
}

/// Cases in which the operations differ.
#[rstest]
#[case::read_doesnt_check_it(Read, None)]
#[case::write_doesnt_check_it(Write, None)]
#[case::transaction_checks_it(FirstOfTransaction, Some(Reason::NothingMayServe))]
fn nothing_may_serve_after_a_refusal(
    #[case] operation: Operation,
    #[case] expected: Option<Reason>,
) {
    let attempt = not_run(FailureKind::Busy);
    let after = after_attempt(operation, attempt, &nothing_may_serve());
    assert_eq!(after.give_up, expected);
}

/// The first statement of a transaction checks whether any database may serve it only if no refusal is
/// final; the reason is the first condition that holds.
#[rstest]
#[case::final_refusal_first(nothing_may_serve(), Some(Reason::QueueTooLong))]
#[case::then_nothing_may_serve(with_untried(nothing_may_serve()), Some(Reason::NothingMayServe))]
#[case::then_the_primary(with_untried(missing(LONG)), None)]
fn a_transaction_checks_in_order(#[case] inputs: FixedInputs, #[case] expected: Option<Reason>) {
    let attempt = not_run(FailureKind::QueueTooLong);
    let after = after_attempt(FirstOfTransaction, attempt, &inputs);
    assert_eq!(after.give_up, expected);
}

/// After a lost answer the conditions are checked only for transactions.
#[rstest]
#[case::read_goes_on(Read, missing(LONG), None)]
#[case::read_goes_on_though_nothing_may_serve(Read, nothing_may_serve(), None)]
#[case::transaction_checks_the_primary(
    FirstOfTransaction,
    missing(LONG),
    Some(Reason::PrimaryUnavailable)
)]
#[case::transaction_checks_whether_any_database_may_serve(
    FirstOfTransaction,
    nothing_may_serve(),
    Some(Reason::NothingMayServe)
)]
#[case::transaction_goes_on(FirstOfTransaction, late(), None)]
fn a_lost_answer(
    #[case] operation: Operation,
    #[case] inputs: FixedInputs,
    #[case] expected: Option<Reason>,
) {
    let after = after_attempt(operation, UnansweredAttempt::Lost, &inputs);
    assert_eq!(after.give_up, expected);
}

#[rstest]
#[case::goes_on(fine(), None)]
#[case::goes_on_when_late(late(), None)]
#[case::nothing_may_serve(nothing_may_serve(), Some(Reason::NothingMayServe))]
#[case::no_primary_for_long(missing(LONG), Some(Reason::PrimaryUnavailable))]
#[case::no_primary_for_a_while(missing(Duration::ZERO), None)]
fn a_read_without_a_database(#[case] inputs: FixedInputs, #[case] expected: Option<Reason>) {
    let after = after_attempt(Read, UnansweredAttempt::NotStarted, &inputs);
    assert_eq!(after.give_up, expected);
}

/// Which attempts count as ones that found no usable primary, and so shorten the next wait for it.
#[rstest]
#[case::read(Read, not_run(FailureKind::Busy), missing(LONG), true)]
#[case::write(Write, not_run(FailureKind::Busy), missing(LONG), true)]
#[case::transaction(FirstOfTransaction, not_run(FailureKind::Busy), missing(LONG), true)]
#[case::read_with_alternative(Read, not_run(FailureKind::Busy), with_untried(missing(LONG)), true)]
#[case::read_with_a_final_refusal(Read, not_run(FailureKind::QueueTooLong), missing(LONG), false)]
#[case::write_with_a_final_refusal(Write, not_run(FailureKind::QueueTooLong), missing(LONG), false)]
#[case::transaction_with_a_final_refusal(
    FirstOfTransaction,
    not_run(FailureKind::QueueTooLong),
    missing(LONG),
    false
)]
#[case::read_with_a_final_refusal_and_an_alternative(
    Read,
    not_run(FailureKind::QueueTooLong),
    with_untried(missing(LONG)),
    false
)]
#[case::transaction_with_a_final_refusal_and_an_alternative(
    FirstOfTransaction,
    not_run(FailureKind::QueueTooLong),
    with_untried(missing(LONG)),
    true
)]
#[case::read_lost(Read, UnansweredAttempt::Lost, missing(LONG), false)]
#[case::transaction_lost(FirstOfTransaction, UnansweredAttempt::Lost, missing(LONG), true)]
#[case::read_not_started(Read, UnansweredAttempt::NotStarted, missing(LONG), true)]
#[case::usable(Read, UnansweredAttempt::NotStarted, fine(), false)]
#[case::nothing_may_serve(Read, UnansweredAttempt::NotStarted, nothing_may_serve(), false)]
fn attempts_that_found_no_primary(
    #[case] operation: Operation,
    #[case] attempt: UnansweredAttempt,
    #[case] inputs: FixedInputs,
    #[case] expected: bool,
) {
    let after = after_attempt(operation, attempt, &inputs);
    assert_eq!(after.found_no_primary, expected);
}

#[rstest]
#[case::lasting(true, Reason::NothingMayServe)]
#[case::for_now(false, Reason::NoPrimaryInTime)]
fn a_write_without_primary(#[case] is_lasting: bool, #[case] expected: Reason) {
    assert_eq!(no_primary_reason(is_lasting), expected);
}

/// A read checks the time after its pause; the others check before it whether the pause still fits.
/// `left_ms` is the time until the latest start, in milliseconds.
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
