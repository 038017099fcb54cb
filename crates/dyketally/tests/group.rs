//! The view of a group, and confirmation rounds with late and reordered answers and with members that lost their state.

use std::time::Duration;

use dyketally::group::{
    ConfirmationResult, Confirmations, FinishedWrite, GroupEvent, GroupView, LogPosition,
    MemberStatus, ProbePacing, Role, Round, Term,
};
use dyketally::identifiers::DatabaseName;
use dyketally::policy::Confirmation::{self, MajorityPosition, MajorityTerm};
use dyketally::time::Timestamp;
use rstest::rstest;

const DEADLINE: Timestamp = Timestamp::from_millis(1_000);

fn name(text: &str) -> DatabaseName {
    DatabaseName::from(text)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn position(term: u64, offset: u64) -> LogPosition {
    let term = Term(term);
    LogPosition { term, offset }
}

fn status(role: Role, term: u64, log: (u64, u64)) -> MemberStatus {
    MemberStatus {
        role,
        term: Term(term),
        log: position(log.0, log.1),
    }
}

fn leads(term: u64, log: (u64, u64)) -> MemberStatus {
    status(Role::Primary, term, log)
}

fn follows(term: u64, log: (u64, u64)) -> MemberStatus {
    status(Role::Replica, term, log)
}

fn three() -> [DatabaseName; 3] {
    ["a", "b", "c"].map(name)
}

fn confirmations() -> Confirmations<u32> {
    Confirmations::new(name("a"), three(), ProbePacing::default())
}

fn write(status_after: MemberStatus, mode: Confirmation) -> FinishedWrite {
    FinishedWrite {
        sent_in_term: Term(2),
        status_after,
        mode,
        deadline: DEADLINE,
    }
}

fn verdicts(
    confirmations: &mut Confirmations<u32>,
    now: Timestamp,
) -> Vec<(u32, ConfirmationResult)> {
    let resolved = confirmations.take_resolved(now);
    resolved.into_iter().map(|r| (r.item, r.verdict)).collect()
}

fn round(confirmations: &mut Confirmations<u32>, now: Timestamp) -> Round {
    confirmations.start_round(now).expect("a round is due")
}

#[rstest]
#[case::one_claim([Some(leads(1, (1, 5))), Some(follows(1, (1, 5))), None], Some(("a", 1)))]
#[case::deposed_still_claims([Some(leads(1, (1, 9))), Some(leads(2, (2, 7))), None], Some(("b", 2)))]
#[case::one_voted_on([Some(leads(1, (1, 5))), Some(follows(2, (1, 5))), None], Some(("a", 1)))]
#[case::majority_voted_on([Some(leads(1, (1, 5))), Some(follows(2, (1, 5))), Some(follows(2, (1, 4)))], None)]
#[case::none_claims([Some(follows(1, (1, 5))), None, None], None)]
fn primary_is_the_highest_claim_that_can_still_be_confirmed(
    #[case] members: [Option<MemberStatus>; 3],
    #[case] expected: Option<(&str, u64)>,
) {
    let mut view = GroupView::new(three());
    for (member, status) in three().iter().zip(members) {
        if let Some(status) = status {
            view.observe(at(2), member, status, at(1));
        }
    }
    let expected = expected.map(|(primary, term)| (name(primary), Term(term)));
    assert_eq!(view.primary(), expected);
}

#[test]
fn overtaken_answers_are_dropped_and_lost_members_forgotten() {
    let mut view = GroupView::new(three());
    view.observe(at(5), &name("a"), leads(2, (2, 9)), at(4));
    let events = view.observe(at(6), &name("a"), leads(1, (1, 3)), at(3));
    assert_eq!(events, vec![]);
    assert_eq!(view.primary(), Some((name("a"), Term(2))));
    let events = view.forget_status(&name("a"));
    assert_eq!(events, vec![GroupEvent::PrimaryChanged { primary: None }]);
    assert_eq!(view.highest_term(), Term(2));
    assert_eq!(view.status(&name("a")), None);
}

#[rstest]
#[case::holds(MajorityPosition, follows(2, (2, 10)), Some(ConfirmationResult::Confirmed(position(2, 10))))]
#[case::past(MajorityPosition, follows(2, (2, 14)), Some(ConfirmationResult::Confirmed(position(2, 10))))]
#[case::behind(MajorityPosition, follows(2, (2, 9)), None)]
#[case::longer_log_of_earlier_term(MajorityPosition, follows(2, (1, 30)), None)]
#[case::behind_is_enough_for_term(MajorityTerm, follows(2, (2, 9)), Some(ConfirmationResult::Confirmed(position(2, 10))))]
#[case::voted_for_higher(MajorityPosition, follows(3, (2, 10)), None)]
#[case::voted_for_higher_term_only(MajorityTerm, follows(3, (2, 10)), None)]
#[case::restarted_empty(MajorityTerm, follows(0, (0, 0)), None)]
#[case::higher_primary(MajorityPosition, leads(3, (3, 12)), Some(ConfirmationResult::Deposed { higher_term: Term(3) }))]
fn one_answer_behind_a_write(
    #[case] mode: Confirmation,
    #[case] answer: MemberStatus,
    #[case] expected: Option<ConfirmationResult>,
) {
    let mut confirmations = confirmations();
    confirmations.write_finished(1, write(leads(2, (2, 10)), mode));
    let round = round(&mut confirmations, at(1));
    assert_eq!(round.members, [name("b"), name("c")]);
    confirmations.record_answer(round.number, &name("b"), answer);
    let expected: Vec<_> = expected.into_iter().map(|verdict| (1, verdict)).collect();
    assert_eq!(verdicts(&mut confirmations, at(2)), expected);
}

#[rstest]
#[case::deposed_before_its_answer(follows(3, (3, 12)))]
#[case::elected_again_in_between(leads(4, (4, 12)))]
#[case::stepped_down(follows(2, (2, 10)))]
fn status_behind_the_write_shows_another_term(#[case] behind: MemberStatus) {
    let mut confirmations = confirmations();
    confirmations.write_finished(1, write(behind, MajorityPosition));
    let higher_term = behind.term;
    let expected = vec![(1, ConfirmationResult::Deposed { higher_term })];
    assert_eq!(verdicts(&mut confirmations, at(1)), expected);
    assert_eq!(confirmations.start_round(at(1)), None);
}

#[test]
fn a_position_of_an_earlier_term_is_not_confirmed_by_that_term() {
    let mut confirmations = confirmations();
    confirmations.write_finished(1, write(leads(2, (1, 10)), MajorityPosition));
    let first = round(&mut confirmations, at(1));
    confirmations.record_answer(first.number, &name("b"), follows(2, (1, 10)));
    assert_eq!(verdicts(&mut confirmations, at(2)), vec![]);
    let second = round(&mut confirmations, at(3));
    confirmations.record_answer(second.number, &name("b"), follows(2, (2, 11)));
    let expected = vec![(1, ConfirmationResult::Confirmed(position(1, 10)))];
    assert_eq!(verdicts(&mut confirmations, at(4)), expected);
}

#[test]
fn a_round_begun_before_the_write_ended_does_not_confirm_it() {
    let mut confirmations = confirmations();
    confirmations.write_finished(1, write(leads(2, (2, 10)), MajorityPosition));
    let early = round(&mut confirmations, at(1));
    confirmations.write_finished(2, write(leads(2, (2, 12)), MajorityPosition));
    confirmations.record_answer(early.number, &name("b"), follows(2, (2, 20)));
    let expected = vec![(1, ConfirmationResult::Confirmed(position(2, 10)))];
    assert_eq!(verdicts(&mut confirmations, at(2)), expected);
    let late = round(&mut confirmations, at(2));
    confirmations.record_answer(late.number, &name("c"), follows(2, (2, 12)));
    let expected = vec![(2, ConfirmationResult::Confirmed(position(2, 12)))];
    assert_eq!(verdicts(&mut confirmations, at(3)), expected);
}

#[test]
fn one_round_answers_all_writes_before_it_and_answers_may_come_reordered() {
    let mut confirmations = confirmations();
    for item in 0..3 {
        confirmations.write_finished(
            item,
            write(leads(2, (2, 10 + u64::from(item))), MajorityPosition),
        );
    }
    let first = round(&mut confirmations, at(1));
    confirmations.write_finished(3, write(leads(2, (2, 13)), MajorityPosition));
    let second = round(&mut confirmations, at(1));
    confirmations.record_answer(second.number, &name("b"), follows(2, (2, 13)));
    assert_eq!(verdicts(&mut confirmations, at(2)).len(), 4);
    confirmations.record_answer(first.number, &name("b"), follows(2, (2, 10)));
    confirmations.record_answer(first.number, &name("b"), follows(3, (2, 10)));
    assert_eq!(verdicts(&mut confirmations, at(3)), vec![]);
    assert_eq!(confirmations.waiting(), 0);
}

#[test]
fn a_member_that_is_behind_is_asked_again_until_the_deadline() {
    let mut confirmations = confirmations();
    confirmations.write_finished(1, write(leads(2, (2, 10)), MajorityPosition));
    let first = round(&mut confirmations, at(1));
    confirmations.record_answer(first.number, &name("b"), follows(2, (2, 8)));
    assert_eq!(confirmations.start_round(at(1)), None, "paced");
    let wakeup = confirmations.next_wakeup(at(1));
    assert_eq!(wakeup, Some(at(1) + Duration::from_millis(1)));
    let second = round(&mut confirmations, at(2));
    assert_eq!(second.members, [name("b")], "c has not answered yet");
    confirmations.record_failure(second.number, &name("b"));
    let expected = vec![(1, ConfirmationResult::NotConfirmed)];
    assert_eq!(verdicts(&mut confirmations, DEADLINE), expected);
}

#[test]
fn a_member_that_never_answers_does_not_hold_up_rounds() {
    let mut confirmations = confirmations();
    let bound = ProbePacing::default().in_flight;
    for item in 0..20 {
        let offset = 10 + u64::from(item);
        confirmations.write_finished(item, write(leads(2, (2, offset)), MajorityPosition));
        let round = round(&mut confirmations, at(1));
        let asks_silent = round.members.contains(&name("c"));
        assert_eq!(asks_silent, (item as usize) < bound);
        confirmations.record_answer(round.number, &name("b"), follows(2, (2, offset)));
        assert_eq!(verdicts(&mut confirmations, at(2)).len(), 1);
    }
}

#[test]
fn a_request_without_any_reply_is_forgotten_in_time() {
    let mut confirmations = confirmations();
    let pacing = ProbePacing::default();
    for item in 0..pacing.in_flight as u32 {
        confirmations.read_arrived(item, Term(2), at(20_000));
        round(&mut confirmations, at(1));
    }
    confirmations.read_arrived(9, Term(2), at(20_000));
    assert_eq!(confirmations.start_round(at(2)), None, "all are busy");
    let later = at(1) + pacing.forget_after;
    let late = round(&mut confirmations, later);
    assert_eq!(late.members, three());
    let early = dyketally::group::RoundNumber(0);
    confirmations.record_answer(early, &name("a"), leads(2, (2, 10)));
    confirmations.record_answer(early, &name("b"), follows(2, (2, 10)));
    assert_eq!(verdicts(&mut confirmations, later), vec![], "forgotten");
}

#[rstest]
#[case::confirmed(&[("a", leads(2, (2, 10))), ("b", follows(2, (2, 4)))], Some(ConfirmationResult::Confirmed(position(2, 10))))]
#[case::primary_did_not_answer(&[("b", follows(2, (2, 10))), ("c", follows(2, (2, 10)))], None)]
#[case::primary_stepped_down(&[("a", follows(2, (2, 10)))], Some(ConfirmationResult::Deposed { higher_term: Term(2) }))]
#[case::others_moved_on(&[("a", leads(2, (2, 10))), ("b", follows(3, (2, 4))), ("c", follows(3, (2, 4)))], Some(ConfirmationResult::Deposed { higher_term: Term(3) }))]
fn current_reads_need_the_primary_and_a_majority(
    #[case] answers: &[(&str, MemberStatus)],
    #[case] expected: Option<ConfirmationResult>,
) {
    let mut confirmations = confirmations();
    confirmations.read_arrived(7, Term(2), DEADLINE);
    let round = round(&mut confirmations, at(1));
    assert_eq!(round.members, three());
    for (member, answer) in answers {
        confirmations.record_answer(round.number, &name(member), *answer);
    }
    let expected: Vec<_> = expected.into_iter().map(|verdict| (7, verdict)).collect();
    assert_eq!(verdicts(&mut confirmations, at(2)), expected);
}

#[test]
fn support_of_members_that_left_the_group_does_not_count() {
    let mut confirmations = confirmations();
    let five = ["a", "b", "c", "d", "e"].map(name);
    confirmations.set_members(five.clone());
    confirmations.write_finished(1, write(leads(2, (2, 10)), MajorityPosition));
    let round = round(&mut confirmations, at(1));
    confirmations.record_answer(round.number, &name("b"), follows(2, (2, 10)));
    confirmations.set_members(["a", "c", "d"].map(name));
    assert_eq!(verdicts(&mut confirmations, at(2)), vec![]);
    confirmations.record_answer(round.number, &name("d"), follows(2, (2, 10)));
    assert_eq!(verdicts(&mut confirmations, at(3)).len(), 1);
}
