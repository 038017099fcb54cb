//! Which database serves a read, and what it checks first.

use dyketally::group::{LogPosition, Term};
use dyketally::placement::Distance;
use dyketally_gateway::decision::Operation::{self, FirstOfTransaction, Read};
use dyketally_gateway::decision::choose::{
    Candidate, FreshnessCheck, NextStep, RankingInputs, Selection, check_after_position_request,
    expected_latency_ms, next_step, ranked, ranks_before_position_request, select_next,
};
use rstest::rstest;

const INPUTS: RankingInputs = RankingInputs {
    primary_penalty_ms: 70.0,
    replicas_likely_behind: false,
};
const REPLICAS_BEHIND: RankingInputs = RankingInputs {
    replicas_likely_behind: true,
    ..INPUTS
};

fn replica() -> Candidate {
    Candidate {
        leads: false,
        latency_ms: 20.0,
        distance: Distance::SameZone,
        was_behind: false,
        is_cold: false,
        is_suspended: false,
    }
}

fn primary() -> Candidate {
    Candidate {
        leads: true,
        ..replica()
    }
}

fn far() -> Candidate {
    Candidate {
        distance: Distance::OtherRegion,
        ..replica()
    }
}

fn behind() -> Candidate {
    Candidate {
        was_behind: true,
        ..replica()
    }
}

fn cold() -> Candidate {
    Candidate {
        is_cold: true,
        ..replica()
    }
}

fn suspended() -> Candidate {
    Candidate {
        is_suspended: true,
        ..replica()
    }
}

fn slow(latency_ms: f64) -> Candidate {
    Candidate {
        latency_ms,
        ..replica()
    }
}

#[rstest]
#[case::replica(replica(), INPUTS, 20.0)]
#[case::primary(primary(), INPUTS, 90.0)]
#[case::other_region(far(), INPUTS, 45.0)]
#[case::behind(behind(), INPUTS, 1_020.0)]
#[case::cold(cold(), INPUTS, 5_020.0)]
#[case::suspended(suspended(), INPUTS, 10_020.0)]
#[case::replica_likely_behind(replica(), REPLICAS_BEHIND, 140.0)]
#[case::primary_is_never_likely_behind(primary(), REPLICAS_BEHIND, 90.0)]
fn costs(#[case] candidate: Candidate, #[case] inputs: RankingInputs, #[case] expected: f64) {
    assert_eq!(candidate.cost_ms(inputs), expected);
}

/// A primary isn't excluded for a position that it lacked while it was a replica.
#[test]
fn a_primary_is_never_behind() {
    let primary = Candidate {
        was_behind: true,
        ..primary()
    };
    assert_eq!(primary.cost_ms(INPUTS), 90.0);
    assert!(!primary.is_alternative());
}

#[rstest]
#[case::replica_before_primary(vec![primary(), replica()], INPUTS, vec![1, 0])]
#[case::primary_while_replicas_are_likely_behind(vec![replica(), primary()], REPLICAS_BEHIND, vec![1, 0])]
#[case::primary_before_a_busy_replica(vec![slow(91.0), primary()], INPUTS, vec![1, 0])]
#[case::near_before_far(vec![far(), replica()], INPUTS, vec![1, 0])]
#[case::far_replica_before_the_primary(vec![primary(), far()], INPUTS, vec![1, 0])]
#[case::equal_costs_keep_their_order(vec![replica(), replica()], INPUTS, vec![0, 1])]
#[case::behind_is_excluded_if_there_is_a_primary(vec![behind(), primary()], INPUTS, vec![1])]
#[case::behind_goes_last_without_a_primary(vec![behind(), replica()], INPUTS, vec![1, 0])]
#[case::cold_goes_after_all_warm(vec![cold(), slow(4_000.0), primary()], INPUTS, vec![2, 1, 0])]
#[case::suspended_goes_last(vec![suspended(), cold(), primary()], INPUTS, vec![2, 1, 0])]
fn ranks(
    #[case] candidates: Vec<Candidate>,
    #[case] inputs: RankingInputs,
    #[case] expected: Vec<usize>,
) {
    let numbered = candidates.into_iter().zip(0..).collect();
    let ranked = ranked(numbered, inputs);
    let order: Vec<usize> = ranked.into_iter().map(|(_, number)| number).collect();
    assert_eq!(order, expected);
}

#[rstest]
#[case::best_first(vec![], Some(Selection::Untried(1)))]
#[case::then_the_next(vec![1], Some(Selection::Untried(2)))]
#[case::in_any_order_of_attempts(vec![2, 3], Some(Selection::Untried(1)))]
#[case::restart_once_all_were_tried(vec![3, 1, 2], Some(Selection::Restart(1)))]
fn selections(#[case] tried: Vec<u32>, #[case] expected: Option<Selection<u32>>) {
    assert_eq!(
        select_next(vec![1, 2, 3], |one| tried.contains(one)),
        expected
    );
    assert_eq!(
        select_next(Vec::<u32>::new(), |one| tried.contains(one)),
        None
    );
}

#[rstest]
#[case::ready(replica(), true)]
#[case::primary(primary(), true)]
#[case::cold(cold(), true)]
#[case::behind(behind(), false)]
#[case::suspended(suspended(), false)]
fn alternatives(#[case] candidate: Candidate, #[case] expected: bool) {
    assert_eq!(candidate.is_alternative(), expected);
}

const POSITION: LogPosition = LogPosition {
    term: Term(3),
    offset: 17,
};
const HOLDS: NextStep = NextStep::Send(FreshnessCheck::Holds(POSITION));
const LEADS: NextStep = NextStep::Send(FreshnessCheck::Leads);

#[rstest]
#[case::read_of_a_known_position(Read, Some(POSITION), false, HOLDS)]
#[case::also_at_the_primary(Read, Some(POSITION), true, HOLDS)]
#[case::transaction_of_a_known_position(FirstOfTransaction, Some(POSITION), true, HOLDS)]
#[case::read_requests_the_position(Read, None, false, NextStep::RequestPosition)]
#[case::transaction_requests_the_position(
    FirstOfTransaction,
    None,
    false,
    NextStep::RequestPosition
)]
#[case::read_goes_to_the_primary_if_that_is_best(Read, None, true, LEADS)]
#[case::transaction_requests_the_position_even_then(
    FirstOfTransaction,
    None,
    true,
    NextStep::RequestPosition
)]
fn next_steps(
    #[case] operation: Operation,
    #[case] known: Option<LogPosition>,
    #[case] best_leads: bool,
    #[case] expected: NextStep,
) {
    assert_eq!(next_step(operation, known, best_leads), expected);
}

#[rstest]
#[case::read(Read, Some(POSITION), Some(FreshnessCheck::Holds(POSITION)))]
#[case::transaction(
    FirstOfTransaction,
    Some(POSITION),
    Some(FreshnessCheck::Holds(POSITION))
)]
#[case::read_goes_to_the_primary_without_an_answer(Read, None, Some(FreshnessCheck::Leads))]
#[case::transaction_waits_without_an_answer(FirstOfTransaction, None, None)]
fn checks_after_a_position_request(
    #[case] operation: Operation,
    #[case] known: Option<LogPosition>,
    #[case] expected: Option<FreshnessCheck>,
) {
    assert_eq!(check_after_position_request(operation, known), expected);
}

#[rstest]
#[case(Distance::SameZone, 20.0)]
#[case(Distance::SameRegion, 23.0)]
#[case(Distance::OtherRegion, 55.0)]
fn expected_latencies(#[case] distance: Distance, #[case] expected: f64) {
    assert_eq!(expected_latency_ms(distance), expected);
}

#[rstest]
#[case(Read, true)]
#[case(FirstOfTransaction, false)]
fn databases_are_ranked_before_a_position_request(
    #[case] operation: Operation,
    #[case] expected: bool,
) {
    assert_eq!(ranks_before_position_request(operation), expected);
}
