//! Which error the caller receives for a statement without an answer, and when it should retry.

use std::time::Duration;

use dyketally::statement::FailureKind;
use dyketally_gateway::decision::Reason;
use dyketally_gateway::decision::come_back::{after_refusal, after_rollback};
use dyketally_gateway::decision::refuse::{
    CommitError, LostCommit, StatementError, commit, single_statement,
};
use rstest::rstest;

fn not_run(refusal: FailureKind) -> StatementError<()> {
    StatementError::NotRun { refusal, proof: () }
}

#[rstest]
#[case::given_up(Reason::TimeUsedUp, Some(()), not_run(FailureKind::Busy))]
#[case::given_up_without_proof(Reason::TimeUsedUp, None, StatementError::InDoubt)]
#[case::final_refusal(Reason::QueueTooLong, Some(()), not_run(FailureKind::Busy))]
#[case::no_database_may_serve(Reason::NothingMayServe, Some(()), not_run(FailureKind::NotServedHere))]
#[case::no_database_may_serve_without_proof(Reason::NothingMayServe, None, StatementError::InDoubt)]
#[case::out_of_time(Reason::DeadlinePassed, Some(()), not_run(FailureKind::Busy))]
#[case::out_of_time_without_proof(Reason::DeadlinePassed, None, StatementError::TimedOut)]
fn single_statements(
    #[case] reason: Reason,
    #[case] proof: Option<()>,
    #[case] expected: StatementError<()>,
) {
    assert_eq!(single_statement(reason, FailureKind::Busy, proof), expected);
}

#[rstest]
#[case::nothing_was_written(LostCommit::ConnectionBroke, false, true, CommitError::RolledBack)]
#[case::nothing_was_written_in_time(
    LostCommit::DeadlinePassed,
    false,
    true,
    CommitError::RolledBack
)]
#[case::it_has_not_run(LostCommit::ConnectionBroke, true, false, CommitError::RolledBack)]
#[case::it_has_not_run_in_time(LostCommit::DeadlinePassed, true, false, CommitError::RolledBack)]
#[case::it_may_have_run(LostCommit::ConnectionBroke, true, true, CommitError::InDoubt)]
#[case::its_time_ran_out(LostCommit::DeadlinePassed, true, true, CommitError::TimedOut)]
fn commits(
    #[case] lost: LostCommit,
    #[case] wrote: bool,
    #[case] may_have_run: bool,
    #[case] expected: CommitError,
) {
    assert_eq!(commit(lost, wrote, may_have_run), expected);
}

#[rstest]
#[case(FailureKind::Busy, 250)]
#[case(FailureKind::QueueTooLong, 250)]
#[case(FailureKind::NoConnection, 250)]
#[case(FailureKind::NotServedHere, 1_000)]
#[case(FailureKind::DatabaseCold, 2_000)]
fn retry_after_times(#[case] refusal: FailureKind, #[case] expected_ms: u64) {
    let longest = after_refusal(refusal, |range| *range.end());
    assert_eq!(longest, Duration::from_millis(expected_ms));
}

#[test]
fn retries_at_a_cold_database_are_spread_out() {
    let sampled = after_refusal(FailureKind::DatabaseCold, |range| *range.start());
    assert_eq!(sampled, Duration::from_millis(300));
    let sampled = after_refusal(FailureKind::Busy, |_| unreachable!("no sample is taken"));
    assert_eq!(sampled, after_rollback());
}
