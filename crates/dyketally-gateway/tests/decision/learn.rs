//! What a refusal, or an answer, tells of the database that gave it.

use dyketally::group::{LogPosition, Term};
use dyketally::statement::FailureKind;
use dyketally_gateway::decision::Operation::{self, FirstOfTransaction, Read, Write};
use dyketally_gateway::decision::choose::Proof;
use dyketally_gateway::decision::learn::{
    BehindBegin, Lesson, behind_begin, from_answer, from_behind_begin, from_refusal,
    from_refusal_without_answer,
};
use rstest::rstest;

const POSITION: LogPosition = LogPosition {
    term: Term(3),
    offset: 17,
};
const HOLDS: Proof = Proof::Holds(POSITION);

fn behind(counts_for_lag: bool) -> Option<Lesson> {
    Some(Lesson::Behind {
        needed: POSITION,
        counts_for_lag,
    })
}

fn holds(counts_for_lag: bool) -> Option<Lesson> {
    Some(Lesson::Holds {
        needed: POSITION,
        counts_for_lag,
    })
}

#[rstest]
#[case::read_at_a_primary(Read, Proof::Leads, FailureKind::ReadOnly, Some(Lesson::Follows))]
#[case::write(Write, Proof::Leads, FailureKind::ReadOnly, Some(Lesson::Follows))]
#[case::transaction(
    FirstOfTransaction,
    Proof::Leads,
    FailureKind::ReadOnly,
    Some(Lesson::Follows)
)]
#[case::nothing_was_asked_of_a_leader(Read, HOLDS, FailureKind::ReadOnly, None)]
#[case::read_counts_for_the_lag(Read, HOLDS, FailureKind::ReplicaBehind, behind(true))]
#[case::transaction_doesnt(FirstOfTransaction, HOLDS, FailureKind::ReplicaBehind, behind(false))]
#[case::nothing_was_asked_of_the_log(Read, Proof::Leads, FailureKind::ReplicaBehind, None)]
#[case::busy(Read, HOLDS, FailureKind::Busy, None)]
#[case::busy_primary(Write, Proof::Leads, FailureKind::Busy, None)]
fn refusals(
    #[case] operation: Operation,
    #[case] proof: Proof,
    #[case] refusal: FailureKind,
    #[case] expected: Option<Lesson>,
) {
    assert_eq!(from_refusal(operation, proof, refusal), expected);
}

#[rstest]
#[case::read_at_a_replica(Read, HOLDS, false, holds(true))]
#[case::read_at_a_primary_that_holds_it(Read, HOLDS, true, holds(false))]
#[case::transaction(FirstOfTransaction, HOLDS, false, holds(false))]
#[case::leader(Read, Proof::Leads, true, None)]
fn answers(
    #[case] operation: Operation,
    #[case] proof: Proof,
    #[case] leads: bool,
    #[case] expected: Option<Lesson>,
) {
    assert_eq!(from_answer(operation, proof, leads), expected);
}

/// A transaction also learns from what a home says, or this node's own checks; reads and writes don't.
#[rstest]
#[case::read(Read, None)]
#[case::write(Write, None)]
#[case::transaction(FirstOfTransaction, Some(Lesson::Follows))]
fn refusals_without_an_answer(#[case] operation: Operation, #[case] expected: Option<Lesson>) {
    let refusal = FailureKind::ReadOnly;
    let lesson = from_refusal_without_answer(operation, Proof::Leads, refusal);
    assert_eq!(lesson, expected);
}

#[rstest]
#[case::answered(None, None, BehindBegin::AnswerOfLeader, false)]
#[case::failed(None, Some(FailureKind::Failed), BehindBegin::FailedAtLeader, false)]
#[case::busy(
    None,
    Some(FailureKind::Busy),
    BehindBegin::NotRun(FailureKind::Busy),
    false
)]
#[case::read_only(
    None,
    Some(FailureKind::ReadOnly),
    BehindBegin::NotRun(FailureKind::ReadOnly),
    true
)]
#[case::ran_on_its_own(Some(FailureKind::ReadOnly), None, BehindBegin::ProvesNothing, true)]
#[case::failed_on_its_own(
    Some(FailureKind::Busy),
    Some(FailureKind::Failed),
    BehindBegin::ProvesNothing,
    false
)]
#[case::the_first_refusal_is_told(
    Some(FailureKind::ReadOnly),
    Some(FailureKind::Busy),
    BehindBegin::NotRun(FailureKind::ReadOnly),
    true
)]
fn reads_behind_a_begin(
    #[case] begin: Option<FailureKind>,
    #[case] read: Option<FailureKind>,
    #[case] expected: BehindBegin,
    #[case] follows: bool,
) {
    assert_eq!(behind_begin(begin, read), expected);
    let lesson = follows.then_some(Lesson::Follows);
    assert_eq!(from_behind_begin(begin, read), lesson);
}
