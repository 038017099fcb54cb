//! Decisions of a failover, case by case.

use dyketally::failover::{
    Candidate, Evidence, PollResult, Succession, Verdict, choose_successor, judge,
};
use dyketally::group::{LogPosition, Term};
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
