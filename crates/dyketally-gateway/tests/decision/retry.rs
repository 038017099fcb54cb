//! What is retried, how often, and after which pause.

use std::time::Duration;

use dyketally::statement::{FailureKind, TransactionState};
use dyketally_gateway::decision::Operation::{self, FirstOfTransaction, Read, Write};
use dyketally_gateway::decision::hedge::{LATE_ANSWER_LIMIT, wait_for_answer};
use dyketally_gateway::decision::retry::{
    AfterLoss, Attempts, after_loss, may_start_attempt, read_pause_after, retries_in_transaction,
};
use rstest::rstest;

#[rstest]
#[case::the_first(0, 0, true)]
#[case::a_second_beside_it(1, 1, true)]
#[case::a_third(2, 2, true)]
#[case::no_fourth(3, 3, false)]
#[case::the_twelfth(11, 0, true)]
#[case::no_thirteenth(12, 0, false)]
fn attempts_of_a_read(#[case] made: u32, #[case] running: usize, #[case] expected: bool) {
    assert_eq!(may_start_attempt(Attempts { made, running }), expected);
}

#[rstest]
#[case::read(Read, AfterLoss::Retry)]
#[case::write_never(Write, AfterLoss::InDoubt)]
#[case::transaction_starts_again(FirstOfTransaction, AfterLoss::Retry)]
fn lost_answers(#[case] operation: Operation, #[case] expected: AfterLoss) {
    assert_eq!(after_loss(operation), expected);
}

#[rstest]
#[case(FailureKind::Busy, Some(12_500))]
#[case(FailureKind::NoConnection, None)]
#[case(FailureKind::ReplicaBehind, None)]
#[case(FailureKind::ReadOnly, None)]
fn pauses_of_a_read(#[case] refusal: FailureKind, #[case] expected_micros: Option<u64>) {
    let expected = expected_micros.map(Duration::from_micros);
    assert_eq!(read_pause_after(refusal), expected);
}

#[rstest]
#[case::busy(Some(FailureKind::Busy), TransactionState::Open, 26, true)]
#[case::no_time_left(Some(FailureKind::Busy), TransactionState::Open, 25, false)]
#[case::the_transaction_failed(Some(FailureKind::Busy), TransactionState::Failed, 26, false)]
#[case::the_transaction_ended(Some(FailureKind::Busy), TransactionState::Idle, 26, false)]
#[case::another_refusal(Some(FailureKind::ReadOnly), TransactionState::Open, 26, false)]
#[case::answered(None, TransactionState::Open, 26, false)]
fn statements_of_an_open_transaction(
    #[case] refusal: Option<FailureKind>,
    #[case] state: TransactionState,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let left = Duration::from_millis(left_ms);
    assert_eq!(retries_in_transaction(refusal, state, left), expected);
}

#[rstest]
#[case::nothing_runs(0, 25)]
#[case::one_runs(1, 350)]
#[case::three_run(3, 350)]
fn waits_for_an_answer(#[case] running: usize, #[case] expected_ms: u64) {
    assert_eq!(wait_for_answer(running), Duration::from_millis(expected_ms));
}

#[test]
fn wait_for_late_answers() {
    assert_eq!(LATE_ANSWER_LIMIT, Duration::from_millis(300));
}
