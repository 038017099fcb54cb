//! Decisions of a failover: polls about a primary, choice of a successor, fences, and the contact by which nodes trust
//! a primary.

use std::time::Duration;

use dyketally::directory::{Announcement, Directory};
use dyketally::failover::{
    ActiveFence, Appointments, Candidate, Contact, Evidence, FENCE_LIFETIME, FenceId, FenceRound,
    FenceVerdict, Fences, PollResult, PrimaryCondition, StepDownAnswer, Succession, TokenUse,
    Verdict, choose_successor, evaluate_poll, evaluate_step_down, needs_check, retain_warm,
};
use dyketally::group::{LogPosition, Role, Term};
use dyketally::statement::DatabaseStatus;
use dyketally::time::Timestamp;
use rstest::rstest;

use Evidence::{Answered, Refused, Silent};

fn poll(nodes: usize, evidence: &[Evidence]) -> PollResult {
    PollResult {
        nodes,
        evidence: evidence.to_vec(),
        lease_is_valid: true,
        ..PollResult::default()
    }
}

#[rstest]
#[case::one_node_reaches_it(poll(3, &[Refused, Refused, Answered]), Verdict::Alive)]
#[case::all_are_refused(poll(3, &[Refused, Refused, Refused]), Verdict::Lost)]
#[case::all_get_no_answer(poll(3, &[Silent, Silent, Silent]), Verdict::Lost)]
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
    PollResult { lease_is_valid: false, store_lost: 1, ..poll(3, &[Silent, Silent, Silent]) },
    Verdict::Undecided)]
#[case::the_lease_ended_and_no_node_reaches_the_store(
    PollResult { lease_is_valid: false, store_lost: 3, ..poll(3, &[Silent, Silent, Silent]) },
    Verdict::Lost)]
fn the_poll_decides_whether_a_primary_is_lost(#[case] poll: PollResult, #[case] verdict: Verdict) {
    assert_eq!(evaluate_poll(&poll), verdict);
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
#[case::a_leaving_replica_is_excluded(
    vec![candidate("a", Some((1, 9)), false, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 0, promote("b"))]
#[case::a_silent_replica_is_excluded(
    vec![candidate("a", None, true, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 0, promote("b"))]
#[case::no_replica_is_ready(
    vec![candidate("a", Some((1, 9)), false, 0)], 1, 0, Succession::NoCandidate)]
#[case::no_replica_answers(
    vec![candidate("a", None, true, 0)], 1, 0, Succession::TooFewLogs { known: 0, needed: 1 })]
#[case::an_acknowledged_commit_could_be_on_the_silent_replica(
    vec![candidate("a", None, true, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 1, Succession::TooFewLogs { known: 1, needed: 2 })]
#[case::with_acknowledgement_the_longest_log_is_needed(
    vec![candidate("a", Some((1, 9)), false, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 1, promote("a"))]
#[case::with_two_acknowledging_one_of_two_logs_is_enough(
    vec![candidate("a", None, true, 0), candidate("b", Some((1, 7)), true, 0)],
    2, 2, promote("b"))]
fn the_successor_holds_acknowledged_commits(
    #[case] candidates: Vec<Candidate>,
    #[case] replicas: usize,
    #[case] acknowledging: usize,
    #[case] expected: Succession,
) {
    let chosen = choose_successor(&candidates, replicas, acknowledging);
    assert_eq!(chosen, expected);
}

/// Guards against a planned handover that takes any answer for a step-down: a request in a term that isn't above the
/// primary's own changes nothing, and the answer is the status of a primary.
#[rstest]
#[case::a_replica_has_stepped_down(false, 3, StepDownAnswer::SteppedDown(END))]
#[case::the_request_was_in_its_own_term(true, 3, StepDownAnswer::StillLeads { term: 4 })]
#[case::the_request_was_in_an_older_term(true, 7, StepDownAnswer::StillLeads { term: 8 })]
#[case::the_request_has_yet_to_take_effect(true, 2, StepDownAnswer::StillLeads { term: 3 })]
#[case::it_follows_a_later_leader(false, 4, StepDownAnswer::Superseded)]
fn only_a_replica_of_no_later_term_has_stepped_down(
    #[case] leads: bool,
    #[case] term: u64,
    #[case] expected: StepDownAnswer,
) {
    let status = DatabaseStatus {
        leads,
        term,
        received: END,
        held_term: 0,
    };
    assert_eq!(evaluate_step_down(&status, 3), expected);
}

/// The end of a log.
const END: LogPosition = LogPosition {
    term: Term(2),
    offset: 9,
};

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// A fence round among five nodes, begun at 0 ms, which `confirmed` nodes have confirmed at 10 ms.
fn fence(confirmed: usize) -> FenceRound {
    let mut round = FenceRound::new(at(0), 5);
    for _ in 0..confirmed {
        round.record_confirmation(at(10));
    }
    round
}

#[rstest]
#[case::all_confirm(fence(5), 10, FenceVerdict::Closed)]
#[case::one_is_silent(fence(4), 3_000, FenceVerdict::Open)]
#[case::the_store_never_publishes_it(fence(4), 4_000, FenceVerdict::NoQuorum)]
#[case::too_few_confirm(fence(2), 4_000, FenceVerdict::NoQuorum)]
fn a_fence_that_is_not_published(
    #[case] round: FenceRound,
    #[case] now: u64,
    #[case] verdict: FenceVerdict,
) {
    assert_eq!(round.verdict(at(now)), verdict);
}

#[rstest]
#[case::silent_nodes_may_be_in_contact(0, 659, FenceVerdict::Open)]
#[case::silent_nodes_are_isolated(0, 660, FenceVerdict::Closed)]
#[case::the_only_silent_node_is_isolated_already(1, 200, FenceVerdict::Closed)]
fn a_fence_published_in_the_store(
    #[case] lapsed: usize,
    #[case] now: u64,
    #[case] verdict: FenceVerdict,
) {
    let mut round = fence(4);
    round.record_published(at(200));
    round.set_isolated(lapsed);
    assert_eq!(round.verdict(at(now)), verdict);
}

#[test]
fn a_silent_former_holder_beside_another_silent_node_changes_nothing() {
    let mut round = fence(3);
    round.record_published(at(200));
    round.set_isolated(1);
    assert_eq!(round.verdict(at(600)), FenceVerdict::Open);
}

#[rstest]
#[case::silent_nodes_may_be_in_contact(fence(4), 3_900, FenceVerdict::Open)]
#[case::silent_nodes_are_never_isolated(fence(4), 4_000, FenceVerdict::NoQuorum)]
#[case::all_confirm(fence(5), 660, FenceVerdict::Closed)]
fn a_fence_whose_owner_may_have_lost_the_duty(
    #[case] mut round: FenceRound,
    #[case] now: u64,
    #[case] verdict: FenceVerdict,
) {
    round.record_published(at(200));
    round.record_lease_broken();
    round.record_published(at(300));
    assert_eq!(round.verdict(at(now)), verdict);
}

#[rstest]
#[case::by_a_grant(500, None, 799, true)]
#[case::by_a_grant_that_ended(500, None, 1_000, false)]
#[case::by_other_nodes(100, Some(700), 1_100, true)]
#[case::by_other_nodes_that_ended(100, Some(700), 1_200, false)]
fn the_short_contact_ends_before_the_long_one(
    #[case] granted: u64,
    #[case] majority: Option<u64>,
    #[case] now: u64,
    #[case] held: bool,
) {
    let mut contact = Contact::default();
    contact.record_store_reply(at(100));
    contact.record_grant(at(granted));
    if let Some(majority) = majority {
        contact.record_majority_reply(at(majority));
    }
    assert_eq!(contact.is_in_contact(at(now)), held);
    assert!(contact.long_is_valid(at(now)));
}

#[test]
fn a_grant_alone_is_no_contact() {
    let mut contact = Contact::default();
    contact.record_grant(at(100));
    assert!(!contact.is_in_contact(at(150)));
}

#[rstest]
#[case::grants_arrive(2_300, None, 2_400)]
#[case::no_grant_arrives(1_000, None, 1_250)]
#[case::no_grant_arrives_and_nodes_were_polled(1_000, Some(1_200), 1_400)]
fn other_nodes_are_polled_when_grants_stop(
    #[case] granted: u64,
    #[case] last_polled: Option<u64>,
    #[case] due: u64,
) {
    let mut contact = Contact::default();
    contact.record_store_reply(at(100));
    contact.record_grant(at(granted));
    assert_eq!(contact.ask_nodes_at(last_polled.map(at)), Some(at(due)));
}

#[test]
fn a_contested_fence_is_never_closed() {
    let mut round = fence(5);
    round.record_contested();
    assert_eq!(round.verdict(at(10_000)), FenceVerdict::Contested);
}

#[test]
fn a_node_that_returns_its_leases_relies_on_other_nodes_alone() {
    let mut contact = Contact::default();
    contact.record_store_reply(at(10_000));
    contact.record_grant(at(10_000));
    assert!(contact.is_in_contact(at(10_100)));
    contact.discard_store_contact();
    assert!(!contact.is_in_contact(at(10_100)));
    assert_eq!(contact.ask_nodes_at(None), Some(at(2_300)));
}

/// The fences of a node that set a fence for database "a" at 1,000 ms.
fn fenced() -> Fences {
    let mut fences = Fences::default();
    fences.set(at(1_000), "a".into(), ROUND);
    fences
}

const ROUND: FenceId = FenceId(7);
const LATER_ROUND: FenceId = FenceId(8);

fn reported(id: FenceId, age_ms: u64) -> ActiveFence {
    ActiveFence {
        database: "a".into(),
        id,
        age: std::time::Duration::from_millis(age_ms),
    }
}

#[test]
fn a_fence_is_in_force_until_it_is_cleared_or_expires() {
    let mut fences = fenced();
    assert!(fences.is_fenced(at(8_999), &"a".into()));
    assert!(!fences.is_fenced(at(9_000), &"a".into()));
    assert!(!fences.is_fenced(at(2_000), &"b".into()));
    fences.clear(at(2_000), &"a".into());
    assert!(!fences.is_fenced(at(2_000), &"a".into()));
    assert_eq!(fences.active(at(2_000)), Vec::new());
}

#[rstest]
#[case::set_before_it_was_cleared_here(1_600, false)]
#[case::set_after_it_was_cleared_here(400, true)]
fn a_reported_fence_counts_if_set_after_it_was_cleared_here(
    #[case] age_ms: u64,
    #[case] holds: bool,
) {
    let mut fences = fenced();
    fences.clear(at(2_000), &"a".into());
    fences.merge(at(2_500), reported(LATER_ROUND, age_ms));
    assert_eq!(fences.is_fenced(at(2_500), &"a".into()), holds);
}

/// A statement sent before a replaced database became the primary again may be answered from its former lead.
#[rstest]
#[case::sent_before_it_was_fenced(900, true)]
#[case::sent_before_it_led_again(1_999, true)]
#[case::sent_since(2_001, false)]
fn an_answer_from_a_former_lead_is_recognised(#[case] sent: u64, #[case] is_former: bool) {
    let mut fences = fenced();
    fences.clear(at(2_000), &"a".into());
    assert_eq!(fences.regained_lead_since(at(sent), &"a".into()), is_former);
    assert!(!fences.regained_lead_since(at(sent), &"b".into()));
}

#[test]
fn a_database_that_was_never_replaced_leads_without_a_break() {
    let mut fences = Fences::default();
    fences.clear(at(2_000), &"a".into());
    assert!(!fences.regained_lead_since(at(1_000), &"a".into()));
    let mut fences = fenced();
    fences.clear_round(at(2_000), &"a".into(), ROUND);
    assert!(!fences.regained_lead_since(at(1_000), &"a".into()));
}

/// A distant node sets a fence after a nearer one has cleared it, and reports it to the nearer one.
#[rstest]
#[case::the_cleared_round(ROUND, false)]
#[case::a_later_round(LATER_ROUND, true)]
fn a_report_of_a_round_that_was_cleared_before_it_was_set(
    #[case] id: FenceId,
    #[case] holds: bool,
) {
    let mut near = Fences::default();
    near.set(at(1_000), "a".into(), ROUND);
    near.clear_round(at(1_001), &"a".into(), ROUND);
    near.merge(at(1_500), reported(id, 480));
    assert_eq!(near.is_fenced(at(1_500), &"a".into()), holds);
}

#[rstest]
#[case::of_the_round(ROUND, false)]
#[case::of_an_earlier_round(FenceId(6), true)]
fn a_late_clear_leaves_later_rounds_in_force(#[case] cleared: FenceId, #[case] holds: bool) {
    let mut fences = fenced();
    fences.clear_round(at(1_200), &"a".into(), cleared);
    assert_eq!(fences.is_fenced(at(1_200), &"a".into()), holds);
    assert!(!fences.set(at(1_300), "a".into(), cleared));
}

#[test]
fn reports_never_extend_a_fence() {
    let (mut one, mut other) = (fenced(), Fences::default());
    for time in (1_000..20_000).step_by(500) {
        for fence in one.active(at(time)) {
            other.merge(at(time), fence);
        }
        for fence in other.active(at(time)) {
            one.merge(at(time), fence);
        }
    }
    assert!(!one.is_fenced(at(9_000), &"a".into()));
    assert!(!other.is_fenced(at(9_000), &"a".into()));
}

#[rstest]
#[case::the_refused_one(7, TokenUse::Renew)]
#[case::a_smaller_one(6, TokenUse::Renew)]
#[case::a_greater_one(8, TokenUse::Use)]
fn a_token_that_was_refused_is_not_used_again(#[case] token: u64, #[case] expected: TokenUse) {
    let mut appointments = Appointments::default();
    appointments.record_appointment(&"orders".into(), &"a".into(), 7);
    appointments.record_refusal(7);
    assert_eq!(
        appointments.token_use(&"orders".into(), &"a".into(), token),
        expected
    );
}

/// A warm replica is preferred to a cold one with the same log; a cold one is preferred to a warm one that lacks
/// commits.
#[rstest]
#[case::same_log((1, 5), (1, 5), "far")]
#[case::longer_log((1, 6), (1, 5), "near")]
fn a_warm_successor_is_preferred_if_no_commit_is_lost(
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
fn cold_candidates_are_dropped_while_a_warm_one_exists() {
    let mut cold = candidate("cold", Some((1, 6)), true, 0);
    cold.cold = true;
    let mut both = vec![cold.clone(), candidate("warm", Some((1, 5)), true, 0)];
    retain_warm(&mut both);
    assert_eq!(both.len(), 1);
    assert_eq!(both[0].name.as_str(), "warm");
    let mut alone = vec![cold];
    retain_warm(&mut alone);
    assert_eq!(alone.len(), 1);
}

/// A primary is fenced at 100 ms, and the database `returned` is the lost primary under another name.
fn fence_at_100_ms() -> (Fences, Directory) {
    let mut directory = Directory::default();
    directory.announced(at(0), announcement("lost", Role::Primary));
    directory.announced(at(0), announcement("replica", Role::Replica));
    let mut fences = Fences::default();
    assert!(fences.set(at(100), "lost".into(), FenceId(1)));
    (fences, directory)
}

fn holds(fences: &Fences, directory: &Directory, now: u64, name: &str) -> bool {
    let member = directory.member(&name.into()).expect("a member");
    fences.hold_for(at(now), directory, member)
}

#[test]
fn a_fence_holds_for_a_primary_that_returns_under_another_name() {
    let (fences, mut directory) = fence_at_100_ms();
    directory.announced(at(200), announcement("returned", Role::Primary));
    assert!(holds(&fences, &directory, 201, "returned"));
    assert!(!holds(&fences, &directory, 201, "replica"));
}

#[test]
fn a_fence_holds_for_a_returned_primary_that_this_node_lists_before_the_fence() {
    let mut directory = Directory::default();
    directory.announced(at(0), announcement("lost", Role::Primary));
    directory.announced(at(50), announcement("returned", Role::Primary));
    let mut fences = Fences::default();
    fences.set(at(100), "lost".into(), FenceId(1));
    assert!(holds(&fences, &directory, 101, "returned"));
}

#[test]
fn a_returned_primary_may_lead_once_it_is_promoted() {
    let (fences, mut directory) = fence_at_100_ms();
    directory.announced(at(200), announcement("returned", Role::Primary));
    directory.promoted(at(300), &"returned".into());
    assert!(!holds(&fences, &directory, 301, "returned"));
}

#[test]
fn a_promotion_before_the_fence_counts_for_nothing() {
    let (mut fences, mut directory) = fence_at_100_ms();
    directory.announced(at(200), announcement("returned", Role::Primary));
    directory.promoted(at(300), &"returned".into());
    fences.set(at(400), "lost".into(), FenceId(2));
    assert!(holds(&fences, &directory, 401, "returned"));
}

#[test]
fn a_replica_that_appears_behind_a_fence_may_lead_once_its_role_changes() {
    let (fences, mut directory) = fence_at_100_ms();
    directory.announced(at(200), announcement("new", Role::Replica));
    assert!(holds(&fences, &directory, 201, "new"));
    directory.announced(at(300), announcement("new", Role::Primary));
    assert!(!holds(&fences, &directory, 301, "new"));
}

#[test]
fn a_fence_that_is_cleared_or_has_expired_holds_for_no_database_of_the_group() {
    let (mut fences, mut directory) = fence_at_100_ms();
    directory.announced(at(200), announcement("returned", Role::Primary));
    let expired = 100 + u64::try_from(FENCE_LIFETIME.as_millis()).expect("milliseconds");
    assert!(!holds(&fences, &directory, expired, "returned"));
    fences.clear_round(at(300), &"lost".into(), FenceId(1));
    assert!(!holds(&fences, &directory, 301, "returned"));
}

#[test]
fn a_fence_holds_for_no_database_of_another_group() {
    let (fences, mut directory) = fence_at_100_ms();
    let mut elsewhere = announcement("elsewhere", Role::Primary);
    elsewhere.group = "stock".into();
    directory.announced(at(200), elsewhere);
    assert!(!holds(&fences, &directory, 201, "elsewhere"));
}

const WELL: PrimaryCondition = PrimaryCondition {
    is_ready: true,
    is_suspected: false,
    is_fenced: false,
    is_evacuated: false,
    is_cold: false,
    regions_bind: false,
};

#[rstest]
#[case::well(WELL, false)]
#[case::leaving(PrimaryCondition { is_ready: false, ..WELL }, true)]
#[case::suspected(PrimaryCondition { is_suspected: true, ..WELL }, true)]
#[case::fenced(PrimaryCondition { is_fenced: true, ..WELL }, true)]
#[case::evacuated(PrimaryCondition { is_evacuated: true, ..WELL }, true)]
#[case::cold(PrimaryCondition { is_cold: true, ..WELL }, true)]
#[case::maybe_misplaced(PrimaryCondition { regions_bind: true, ..WELL }, true)]
fn only_a_primary_that_may_have_to_be_replaced_is_checked(
    #[case] primary: PrimaryCondition,
    #[case] expected: bool,
) {
    assert_eq!(needs_check(&primary), expected);
}

fn announcement(name: &str, role: Role) -> Announcement {
    Announcement {
        database: name.into(),
        group: "orders".into(),
        address: "127.0.0.1:5432".parse().expect("an address"),
        zone: "east".into(),
        slots: 3,
        ready: true,
        role,
        cold_for: Duration::ZERO,
        incarnation: None,
    }
}
