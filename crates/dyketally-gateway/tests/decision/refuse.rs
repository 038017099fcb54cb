//! What the caller is told of a statement that has no answer, and when to come back.

use std::time::Duration;

use dyketally::statement::FailureKind;
use dyketally_gateway::decision::Reason;
use dyketally_gateway::decision::come_back::{after_refusal, after_rollback};
use dyketally_gateway::decision::refuse::{LostCommit, Told, ToldOfCommit, commit, single};
use rstest::rstest;

fn not_run(refusal: FailureKind) -> Told<()> {
    Told::NotRun { refusal, proof: () }
}

#[rstest]
#[case::given_up(Reason::TimeUsedUp, Some(()), not_run(FailureKind::Busy))]
#[case::given_up_without_proof(Reason::TimeUsedUp, None, Told::InDoubt)]
#[case::hopeless(Reason::QueueTooLong, Some(()), not_run(FailureKind::Busy))]
#[case::nowhere(Reason::NothingMayServe, Some(()), not_run(FailureKind::NotServedHere))]
#[case::nowhere_without_proof(Reason::NothingMayServe, None, Told::InDoubt)]
#[case::out_of_time(Reason::DeadlinePassed, Some(()), not_run(FailureKind::Busy))]
#[case::out_of_time_without_proof(Reason::DeadlinePassed, None, Told::TimedOut)]
fn single_statements(
    #[case] reason: Reason,
    #[case] proof: Option<()>,
    #[case] expected: Told<()>,
) {
    assert_eq!(single(reason, FailureKind::Busy, proof), expected);
}

#[rstest]
#[case::nothing_was_written(LostCommit::Broke, false, true, ToldOfCommit::RolledBack)]
#[case::nothing_was_written_in_time(
    LostCommit::DeadlinePassed,
    false,
    true,
    ToldOfCommit::RolledBack
)]
#[case::it_has_not_run(LostCommit::Broke, true, false, ToldOfCommit::RolledBack)]
#[case::it_has_not_run_in_time(LostCommit::DeadlinePassed, true, false, ToldOfCommit::RolledBack)]
#[case::it_may_have_run(LostCommit::Broke, true, true, ToldOfCommit::InDoubt)]
#[case::its_time_ran_out(LostCommit::DeadlinePassed, true, true, ToldOfCommit::TimedOut)]
fn commits(
    #[case] lost: LostCommit,
    #[case] wrote: bool,
    #[case] may_have_run: bool,
    #[case] expected: ToldOfCommit,
) {
    assert_eq!(commit(lost, wrote, may_have_run), expected);
}

#[rstest]
#[case(FailureKind::Busy, 250)]
#[case(FailureKind::QueueTooLong, 250)]
#[case(FailureKind::NoConnection, 250)]
#[case(FailureKind::NotServedHere, 1_000)]
#[case(FailureKind::DatabaseCold, 2_000)]
fn come_back_times(#[case] refusal: FailureKind, #[case] expected_ms: u64) {
    let longest = after_refusal(refusal, |range| *range.end());
    assert_eq!(longest, Duration::from_millis(expected_ms));
}

#[test]
fn callers_of_a_cold_database_come_back_spread_out() {
    let drawn = after_refusal(FailureKind::DatabaseCold, |range| *range.start());
    assert_eq!(drawn, Duration::from_millis(300));
    let drawn = after_refusal(FailureKind::Busy, |_| unreachable!("nothing is drawn"));
    assert_eq!(drawn, after_rollback());
}
