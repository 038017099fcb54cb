//! What a refusal or an answer shows about the database that sent it.

use dyketally::group::{LogPosition, Term};
use dyketally::statement::FailureKind;
use dyketally_gateway::decision::Operation::{self, FirstOfTransaction, Read, Write};
use dyketally_gateway::decision::choose::FreshnessCheck;
use dyketally_gateway::decision::learn::{
    Feedback, ReadAfterBegin, from_answer, from_read_after_begin, from_refusal,
    from_refusal_without_answer, read_after_begin,
};
use rstest::rstest;

const POSITION: LogPosition = LogPosition {
    term: Term(3),
    offset: 17,
};
const HOLDS: FreshnessCheck = FreshnessCheck::Holds(POSITION);

fn behind(updates_lag_estimate: bool) -> Option<Feedback> {
    Some(Feedback::Behind {
        needed: POSITION,
        updates_lag_estimate,
    })
}

fn holds(updates_lag_estimate: bool) -> Option<Feedback> {
    Some(Feedback::Holds {
        needed: POSITION,
        updates_lag_estimate,
    })
}

#[rstest]
#[case::read_at_a_primary(
    Read,
    FreshnessCheck::Leads,
    FailureKind::ReadOnly,
    Some(Feedback::Follows)
)]
#[case::write(
    Write,
    FreshnessCheck::Leads,
    FailureKind::ReadOnly,
    Some(Feedback::Follows)
)]
#[case::transaction(
    FirstOfTransaction,
    FreshnessCheck::Leads,
    FailureKind::ReadOnly,
    Some(Feedback::Follows)
)]
#[case::leadership_was_not_checked(Read, HOLDS, FailureKind::ReadOnly, None)]
#[case::read_counts_for_the_lag(Read, HOLDS, FailureKind::ReplicaBehind, behind(true))]
#[case::transaction_doesnt(FirstOfTransaction, HOLDS, FailureKind::ReplicaBehind, behind(false))]
#[case::position_was_not_checked(Read, FreshnessCheck::Leads, FailureKind::ReplicaBehind, None)]
#[case::busy(Read, HOLDS, FailureKind::Busy, None)]
#[case::busy_primary(Write, FreshnessCheck::Leads, FailureKind::Busy, None)]
fn refusals(
    #[case] operation: Operation,
    #[case] check: FreshnessCheck,
    #[case] refusal: FailureKind,
    #[case] expected: Option<Feedback>,
) {
    assert_eq!(from_refusal(operation, check, refusal), expected);
}

#[rstest]
#[case::read_at_a_replica(Read, HOLDS, false, holds(true))]
#[case::read_at_a_primary_that_holds_it(Read, HOLDS, true, holds(false))]
#[case::transaction(FirstOfTransaction, HOLDS, false, holds(false))]
#[case::leader(Read, FreshnessCheck::Leads, true, None)]
fn answers(
    #[case] operation: Operation,
    #[case] check: FreshnessCheck,
    #[case] leads: bool,
    #[case] expected: Option<Feedback>,
) {
    assert_eq!(from_answer(operation, check, leads), expected);
}

/// For transactions, refusals by a home or by this node's own checks count too; for reads and writes they
/// don't.
#[rstest]
#[case::read(Read, None)]
#[case::write(Write, None)]
#[case::transaction(FirstOfTransaction, Some(Feedback::Follows))]
fn refusals_without_an_answer(#[case] operation: Operation, #[case] expected: Option<Feedback>) {
    let refusal = FailureKind::ReadOnly;
    let feedback = from_refusal_without_answer(operation, FreshnessCheck::Leads, refusal);
    assert_eq!(feedback, expected);
}

#[rstest]
#[case::answered(None, None, ReadAfterBegin::AnswerIfLeading, false)]
#[case::failed(None, Some(FailureKind::Failed), ReadAfterBegin::FailedAtLeader, false)]
#[case::busy(
    None,
    Some(FailureKind::Busy),
    ReadAfterBegin::NotRun(FailureKind::Busy),
    false
)]
#[case::read_only(
    None,
    Some(FailureKind::ReadOnly),
    ReadAfterBegin::NotRun(FailureKind::ReadOnly),
    true
)]
#[case::ran_on_its_own(Some(FailureKind::ReadOnly), None, ReadAfterBegin::Inconclusive, true)]
#[case::failed_on_its_own(
    Some(FailureKind::Busy),
    Some(FailureKind::Failed),
    ReadAfterBegin::Inconclusive,
    false
)]
#[case::the_refusal_of_begin_is_reported(
    Some(FailureKind::ReadOnly),
    Some(FailureKind::Busy),
    ReadAfterBegin::NotRun(FailureKind::ReadOnly),
    true
)]
fn reads_behind_a_begin(
    #[case] begin: Option<FailureKind>,
    #[case] read: Option<FailureKind>,
    #[case] expected: ReadAfterBegin,
    #[case] follows: bool,
) {
    assert_eq!(read_after_begin(begin, read), expected);
    let feedback = follows.then_some(Feedback::Follows);
    assert_eq!(from_read_after_begin(begin, read), feedback);
}
