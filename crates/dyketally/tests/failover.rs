//! Decisions of a failover, case by case.

use dyketally::failover::{
    Appointments, Candidate, Contact, Evidence, FenceId, FenceRound, FenceVerdict, Fences,
    PollResult, StandingFence, Succession, TokenUse, Verdict, choose_successor, judge, keep_warm,
};
use dyketally::group::{LogPosition, Term};
use dyketally::time::Timestamp;
use rstest::rstest;

use Evidence::{Answered, Refused, Silent};

fn poll(nodes: usize, evidence: &[Evidence]) -> PollResult {
    PollResult {
        nodes,
        evidence: evidence.to_vec(),
        lease_runs: true,
        ..PollResult::default()
    }
}

#[rstest]
#[case::one_node_reaches_it(poll(3, &[Refused, Refused, Answered]), Verdict::Alive)]
#[case::all_are_refused(poll(3, &[Refused, Refused, Refused]), Verdict::Lost)]
#[case::all_hear_nothing(poll(3, &[Silent, Silent, Silent]), Verdict::Lost)]
#[case::votes_are_missing(poll(3, &[Refused, Refused]), Verdict::Undecided)]
#[case::half_agree_and_the_rest_is_late(
    PollResult { complete: true, ..poll(4, &[Refused, Silent]) }, Verdict::Lost)]
#[case::a_minority_agrees(
    PollResult { complete: true, ..poll(7, &[Silent, Silent, Silent]) }, Verdict::Undecided)]
#[case::a_node_that_is_cut_off_alone(
    PollResult { complete: true, prolonged: true, ..poll(7, &[Silent]) }, Verdict::Undecided)]
#[case::most_nodes_died_with_it(
    PollResult { complete: true, prolonged: true, ..poll(7, &[Silent, Silent]) }, Verdict::Lost)]
#[case::the_only_node(PollResult { complete: true, ..poll(1, &[Refused]) }, Verdict::Lost)]
#[case::the_lease_ended_and_others_reach_the_store(
    PollResult { lease_runs: false, store_lost: 1, ..poll(3, &[Silent, Silent, Silent]) },
    Verdict::Undecided)]
#[case::the_lease_ended_and_nobody_reaches_the_store(
    PollResult { lease_runs: false, store_lost: 3, ..poll(3, &[Silent, Silent, Silent]) },
    Verdict::Lost)]
fn the_evidence_settles_it(#[case] poll: PollResult, #[case] verdict: Verdict) {
    assert_eq!(judge(&poll), verdict);
}

fn candidate(name: &str, received: Option<(u64, u64)>, ready: bool, preference: u32) -> Candidate {
    Candidate {
        name: name.into(),
        received: received.map(|(term, offset)| LogPosition {
            term: Term(term),
            offset,
        }),
        ready,
        cold: false,
        preference,
    }
}

fn promote(name: &str) -> Succession {
    Succession::Promote(name.into())
}

#[rstest]
#[case::the_longest_log(
    vec![candidate("a", Some((1, 5)), true, 0), candidate("b", Some((1, 7)), true, 2)],
    2, 0, promote("b"))]
#[case::a_newer_term_beats_a_longer_log(
    vec![candidate("a", Some((2, 3)), true, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 0, promote("a"))]
#[case::the_nearer_of_equal_logs(
    vec![candidate("a", Some((1, 7)), true, 2), candidate("b", Some((1, 7)), true, 0)],
    2, 0, promote("b"))]
#[case::one_that_leaves_is_passed_over(
    vec![candidate("a", Some((1, 9)), false, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 0, promote("b"))]
#[case::one_that_is_silent_is_passed_over(
    vec![candidate("a", None, true, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 0, promote("b"))]
#[case::nobody_is_ready(
    vec![candidate("a", Some((1, 9)), false, 0)], 1, 0, Succession::NoCandidate)]
#[case::nobody_answers(
    vec![candidate("a", None, true, 0)], 1, 0, Succession::TooFewLogs { known: 0, needed: 1 })]
#[case::an_acknowledged_commit_could_be_on_the_silent_replica(
    vec![candidate("a", None, true, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 1, Succession::TooFewLogs { known: 1, needed: 2 })]
#[case::with_acknowledgement_only_the_longest_log_will_do(
    vec![candidate("a", Some((1, 9)), false, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 1, promote("a"))]
#[case::with_two_acknowledging_one_of_two_logs_is_enough(
    vec![candidate("a", None, true, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 2, promote("b"))]
fn the_successor_holds_what_was_acknowledged(
    #[case] candidates: Vec<Candidate>,
    #[case] replicas: usize,
    #[case] acknowledging: usize,
    #[case] expected: Succession,
) {
    let chosen = choose_successor(&candidates, replicas, acknowledging);
    assert_eq!(chosen, expected);
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// A fence among five nodes, asked for at 0, that `confirmed` nodes have confirmed at 10 ms.
fn fence(confirmed: usize) -> FenceRound {
    let mut round = FenceRound::new(at(0), 5);
    for _ in 0..confirmed {
        round.confirmed(at(10));
    }
    round
}

#[rstest]
#[case::all_confirm(fence(5), 10, FenceVerdict::Closed)]
#[case::one_is_silent(fence(4), 3_000, FenceVerdict::Open)]
#[case::the_store_is_never_told(fence(4), 4_000, FenceVerdict::NoQuorum)]
#[case::too_few_confirm(fence(2), 4_000, FenceVerdict::NoQuorum)]
fn a_fence_that_is_not_published(
    #[case] round: FenceRound,
    #[case] now: u64,
    #[case] verdict: FenceVerdict,
) {
    assert_eq!(round.verdict(at(now)), verdict);
}

#[rstest]
#[case::silent_nodes_may_be_in_touch(0, 659, FenceVerdict::Open)]
#[case::silent_nodes_are_isolated(0, 660, FenceVerdict::Closed)]
#[case::the_only_silent_node_is_isolated_already(1, 200, FenceVerdict::Closed)]
fn a_fence_that_the_store_tells_of(
    #[case] lapsed: usize,
    #[case] now: u64,
    #[case] verdict: FenceVerdict,
) {
    let mut round = fence(4);
    round.published(at(200));
    round.lapsed(lapsed);
    assert_eq!(round.verdict(at(now)), verdict);
}

#[test]
fn a_former_holder_that_is_silent_beside_another_node_changes_nothing() {
    let mut round = fence(3);
    round.published(at(200));
    round.lapsed(1);
    assert_eq!(round.verdict(at(600)), FenceVerdict::Open);
}

#[rstest]
#[case::silent_nodes_may_be_in_touch(fence(4), 3_900, FenceVerdict::Open)]
#[case::silent_nodes_are_never_isolated(fence(4), 4_000, FenceVerdict::NoQuorum)]
#[case::all_confirm(fence(5), 660, FenceVerdict::Closed)]
fn a_fence_whose_holder_may_have_lost_the_duty(
    #[case] mut round: FenceRound,
    #[case] now: u64,
    #[case] verdict: FenceVerdict,
) {
    round.published(at(200));
    round.lease_broken();
    round.published(at(300));
    assert_eq!(round.verdict(at(now)), verdict);
}

#[rstest]
#[case::of_a_grant(500, None, 799, true)]
#[case::of_a_grant_that_ended(500, None, 1_000, false)]
#[case::of_other_nodes(100, Some(700), 1_100, true)]
#[case::of_other_nodes_that_ended(100, Some(700), 1_200, false)]
fn a_primary_is_trusted_by_the_short_contact(
    #[case] granted: u64,
    #[case] majority: Option<u64>,
    #[case] now: u64,
    #[case] held: bool,
) {
    let mut contact = Contact::default();
    contact.store_replied(at(100));
    contact.granted(at(granted));
    if let Some(majority) = majority {
        contact.majority_replied(at(majority));
    }
    assert_eq!(contact.is_held(at(now)), held);
    assert!(contact.is_long_held(at(now)));
}

#[test]
fn a_grant_alone_is_no_contact() {
    let mut contact = Contact::default();
    contact.granted(at(100));
    assert!(!contact.is_held(at(150)));
}

#[rstest]
#[case::grants_come(2_300, None, 2_400)]
#[case::no_grant_comes(1_000, None, 1_250)]
#[case::no_grant_comes_and_nodes_were_asked(1_000, Some(1_200), 1_400)]
fn other_nodes_are_asked_when_grants_stay_away(
    #[case] granted: u64,
    #[case] asked: Option<u64>,
    #[case] due: u64,
) {
    let mut contact = Contact::default();
    contact.store_replied(at(100));
    contact.granted(at(granted));
    assert_eq!(contact.ask_nodes_at(asked.map(at)), Some(at(due)));
}

#[test]
fn a_contested_fence_is_never_closed() {
    let mut round = fence(5);
    round.contested();
    assert_eq!(round.verdict(at(10_000)), FenceVerdict::Contested);
}

#[test]
fn a_node_that_gives_back_its_leases_counts_only_other_nodes() {
    let mut contact = Contact::default();
    contact.store_replied(at(10_000));
    contact.granted(at(10_000));
    assert!(contact.is_held(at(10_100)));
    contact.store_given_up();
    assert!(!contact.is_held(at(10_100)));
    assert_eq!(contact.ask_nodes_at(None), Some(at(2_300)));
}

/// A node's fence around "a" that was put up at 1,000 ms.
fn fenced() -> Fences {
    let mut fences = Fences::default();
    fences.put_up(at(1_000), "a".into(), ROUND);
    fences
}

const ROUND: FenceId = FenceId(7);
const LATER_ROUND: FenceId = FenceId(8);

fn heard(id: FenceId, age_ms: u64) -> StandingFence {
    StandingFence {
        database: "a".into(),
        id,
        age: std::time::Duration::from_millis(age_ms),
    }
}

#[test]
fn a_fence_holds_until_it_is_lifted_or_runs_out() {
    let mut fences = fenced();
    assert!(fences.holds(at(8_999), &"a".into()));
    assert!(!fences.holds(at(9_000), &"a".into()));
    assert!(!fences.holds(at(2_000), &"b".into()));
    fences.lift(at(2_000), &"a".into());
    assert!(!fences.holds(at(2_000), &"a".into()));
    assert_eq!(fences.standing(at(2_000)), Vec::new());
}

#[rstest]
#[case::put_up_before_it_was_lifted_here(1_600, false)]
#[case::put_up_after_it_was_lifted_here(400, true)]
fn what_is_heard_of_a_lifted_fence(#[case] age_ms: u64, #[case] holds: bool) {
    let mut fences = fenced();
    fences.lift(at(2_000), &"a".into());
    fences.heard(at(2_500), heard(LATER_ROUND, age_ms));
    assert_eq!(fences.holds(at(2_500), &"a".into()), holds);
}

/// What was sent before a replaced database led anew may be answered out of its former lead.
#[rstest]
#[case::sent_before_it_was_fenced(900, true)]
#[case::sent_before_it_led_anew(1_999, true)]
#[case::sent_since(2_001, false)]
fn an_answer_of_a_former_lead_is_known(#[case] sent: u64, #[case] is_former: bool) {
    let mut fences = fenced();
    fences.lift(at(2_000), &"a".into());
    assert_eq!(fences.led_anew_since(at(sent), &"a".into()), is_former);
    assert!(!fences.led_anew_since(at(sent), &"b".into()));
}

#[test]
fn a_database_that_was_never_replaced_leads_without_a_break() {
    let mut fences = Fences::default();
    fences.lift(at(2_000), &"a".into());
    assert!(!fences.led_anew_since(at(1_000), &"a".into()));
    let mut fences = fenced();
    fences.lift_round(at(2_000), &"a".into(), ROUND);
    assert!(!fences.led_anew_since(at(1_000), &"a".into()));
}

/// A node that is farther away puts a fence up after a nearer one has lifted it, and tells of it.
#[rstest]
#[case::the_round_that_was_lifted(ROUND, false)]
#[case::a_later_round(LATER_ROUND, true)]
fn what_is_heard_of_a_round_that_was_lifted_before_it_was_put_up(
    #[case] id: FenceId,
    #[case] holds: bool,
) {
    let mut near = Fences::default();
    near.put_up(at(1_000), "a".into(), ROUND);
    near.lift_round(at(1_001), &"a".into(), ROUND);
    near.heard(at(1_500), heard(id, 480));
    assert_eq!(near.holds(at(1_500), &"a".into()), holds);
}

#[rstest]
#[case::of_the_round(ROUND, false)]
#[case::of_an_earlier_round(FenceId(6), true)]
fn a_late_lift_leaves_later_rounds_alone(#[case] lifted: FenceId, #[case] holds: bool) {
    let mut fences = fenced();
    fences.lift_round(at(1_200), &"a".into(), lifted);
    assert_eq!(fences.holds(at(1_200), &"a".into()), holds);
    assert!(!fences.put_up(at(1_300), "a".into(), lifted));
}

#[test]
fn hearing_of_a_fence_never_makes_it_last_longer() {
    let (mut one, mut other) = (fenced(), Fences::default());
    for time in (1_000..20_000).step_by(500) {
        for fence in one.standing(at(time)) {
            other.heard(at(time), fence);
        }
        for fence in other.standing(at(time)) {
            one.heard(at(time), fence);
        }
    }
    assert!(!one.holds(at(9_000), &"a".into()));
    assert!(!other.holds(at(9_000), &"a".into()));
}

#[rstest]
#[case::the_refused_one(7, TokenUse::Renew)]
#[case::a_smaller_one(6, TokenUse::Renew)]
#[case::a_greater_one(8, TokenUse::Use)]
fn a_token_that_was_refused_is_not_used_again(#[case] token: u64, #[case] expected: TokenUse) {
    let mut appointments = Appointments::default();
    appointments.appointing(&"orders".into(), &"a".into(), 7);
    appointments.refused(7);
    assert_eq!(
        appointments.token_use(&"orders".into(), &"a".into(), token),
        expected
    );
}

/// A cold replica isn't chosen while a warm one has the same log, but rather than one that lacks commits.
#[rstest]
#[case::same_log((1, 5), (1, 5), "far")]
#[case::longer_log((1, 6), (1, 5), "near")]
fn a_warm_successor_goes_before_a_cold_one_without_loss(
    #[case] cold: (u64, u64),
    #[case] warm: (u64, u64),
    #[case] chosen: &str,
) {
    let mut near = candidate("near", Some(cold), true, 0);
    near.cold = true;
    let far = candidate("far", Some(warm), true, 2);
    let choice = choose_successor(&[near, far], 2, 0);
    assert_eq!(choice, Succession::Promote(chosen.into()));
}

#[test]
fn where_logs_are_waited_for_cold_successors_go_last() {
    let mut cold = candidate("cold", Some((1, 6)), true, 0);
    cold.cold = true;
    let mut both = vec![cold.clone(), candidate("warm", Some((1, 5)), true, 0)];
    keep_warm(&mut both);
    assert_eq!(both.len(), 1);
    assert_eq!(both[0].name.as_str(), "warm");
    let mut alone = vec![cold];
    keep_warm(&mut alone);
    assert_eq!(alone.len(), 1);
}
