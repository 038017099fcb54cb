//! Which database serves a read.

use dyketally::group::{LogPosition, Term};
use dyketally::placement::Distance;
use dyketally_gateway::decision::Operation::{self, FirstOfTransaction, Read};
use dyketally_gateway::decision::choose::{
    Candidate, Pick, Preferences, Proof, Way, expected_latency_ms, next, proof_after_asking,
    ranked, ranks_before_asking, way,
};
use rstest::rstest;

const PREFERENCES: Preferences = Preferences {
    primary_penalty_ms: 70.0,
    is_too_new: false,
};
const TOO_NEW: Preferences = Preferences {
    is_too_new: true,
    ..PREFERENCES
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
#[case::replica(replica(), PREFERENCES, 20.0)]
#[case::primary(primary(), PREFERENCES, 90.0)]
#[case::other_region(far(), PREFERENCES, 45.0)]
#[case::behind(behind(), PREFERENCES, 1_020.0)]
#[case::cold(cold(), PREFERENCES, 5_020.0)]
#[case::suspended(suspended(), PREFERENCES, 10_020.0)]
#[case::too_new_for_a_replica(replica(), TOO_NEW, 140.0)]
#[case::never_too_new_for_the_primary(primary(), TOO_NEW, 90.0)]
fn costs(#[case] candidate: Candidate, #[case] preferences: Preferences, #[case] expected: f64) {
    assert_eq!(candidate.cost_ms(preferences), expected);
}

/// A primary isn't passed over for a position that it lacked as a replica.
#[test]
fn a_primary_is_never_behind() {
    let primary = Candidate {
        was_behind: true,
        ..primary()
    };
    assert_eq!(primary.cost_ms(PREFERENCES), 90.0);
    assert!(!primary.is_alternative());
}

#[rstest]
#[case::replica_before_primary(vec![primary(), replica()], PREFERENCES, vec![1, 0])]
#[case::primary_for_what_is_new(vec![replica(), primary()], TOO_NEW, vec![1, 0])]
#[case::primary_before_a_busy_replica(vec![slow(91.0), primary()], PREFERENCES, vec![1, 0])]
#[case::near_before_far(vec![far(), replica()], PREFERENCES, vec![1, 0])]
#[case::far_replica_before_the_primary(vec![primary(), far()], PREFERENCES, vec![1, 0])]
#[case::equal_ones_in_their_order(vec![replica(), replica()], PREFERENCES, vec![0, 1])]
#[case::behind_is_left_out_beside_a_primary(vec![behind(), primary()], PREFERENCES, vec![1])]
#[case::behind_goes_last_without_a_primary(vec![behind(), replica()], PREFERENCES, vec![1, 0])]
#[case::cold_goes_after_all_warm(vec![cold(), slow(4_000.0), primary()], PREFERENCES, vec![2, 1, 0])]
#[case::suspended_goes_last(vec![suspended(), cold(), primary()], PREFERENCES, vec![2, 1, 0])]
fn ranks(
    #[case] candidates: Vec<Candidate>,
    #[case] preferences: Preferences,
    #[case] expected: Vec<usize>,
) {
    let numbered = candidates.into_iter().zip(0..).collect();
    let ranked = ranked(numbered, preferences);
    let order: Vec<usize> = ranked.into_iter().map(|(_, number)| number).collect();
    assert_eq!(order, expected);
}

#[rstest]
#[case::best_first(vec![], Some(Pick::Untried(1)))]
#[case::then_the_next(vec![1], Some(Pick::Untried(2)))]
#[case::whatever_was_tried_first(vec![2, 3], Some(Pick::Untried(1)))]
#[case::round_again(vec![3, 1, 2], Some(Pick::Again(1)))]
fn picks(#[case] tried: Vec<u32>, #[case] expected: Option<Pick<u32>>) {
    assert_eq!(next(vec![1, 2, 3], |one| tried.contains(one)), expected);
    assert_eq!(next(Vec::<u32>::new(), |one| tried.contains(one)), None);
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
const HOLDS: Way = Way::Prove(Proof::Holds(POSITION));
const LEADS: Way = Way::Prove(Proof::Leads);

#[rstest]
#[case::read_of_a_known_position(Read, Some(POSITION), false, HOLDS)]
#[case::also_at_the_primary(Read, Some(POSITION), true, HOLDS)]
#[case::transaction_of_a_known_position(FirstOfTransaction, Some(POSITION), true, HOLDS)]
#[case::read_asks_for_the_position(Read, None, false, Way::AskForPosition)]
#[case::transaction_asks_for_the_position(FirstOfTransaction, None, false, Way::AskForPosition)]
#[case::read_goes_to_the_primary_if_that_is_best(Read, None, true, LEADS)]
#[case::transaction_asks_even_then(FirstOfTransaction, None, true, Way::AskForPosition)]
fn ways(
    #[case] operation: Operation,
    #[case] known: Option<LogPosition>,
    #[case] best_leads: bool,
    #[case] expected: Way,
) {
    assert_eq!(way(operation, known, best_leads), expected);
}

#[rstest]
#[case::read(Read, Some(POSITION), Some(Proof::Holds(POSITION)))]
#[case::transaction(FirstOfTransaction, Some(POSITION), Some(Proof::Holds(POSITION)))]
#[case::read_goes_to_the_primary_without_an_answer(Read, None, Some(Proof::Leads))]
#[case::transaction_waits_without_an_answer(FirstOfTransaction, None, None)]
fn ways_once_the_primary_was_asked(
    #[case] operation: Operation,
    #[case] known: Option<LogPosition>,
    #[case] expected: Option<Proof>,
) {
    assert_eq!(proof_after_asking(operation, known), expected);
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
fn the_best_database_is_looked_for_before_asking(
    #[case] operation: Operation,
    #[case] expected: bool,
) {
    assert_eq!(ranks_before_asking(operation), expected);
}
