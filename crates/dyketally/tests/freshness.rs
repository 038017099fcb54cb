//! Freshness of replica reads: positions known from observations of the primary's log, and the estimated replica lag.

use std::time::Duration;

use dyketally::freshness::{LagEstimate, Observation, Observations, ReadConsistency};
use dyketally::group::{LogPosition, Term};
use dyketally::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn position(offset: u64) -> LogPosition {
    LogPosition {
        term: Term(1),
        offset,
    }
}

fn observed(entries: &[(u64, u64)]) -> Observations {
    let mut observations = Observations::new(Duration::from_secs(3));
    for (sent, offset) in entries {
        let observation = Observation {
            position: position(*offset),
            sent: at(*sent),
        };
        observations.record(at(*sent), observation);
    }
    observations
}

#[rstest]
#[case::none_is_known(&[], 1_000, None)]
#[case::all_are_too_old(&[(100, 1), (200, 2)], 1_000, None)]
#[case::the_oldest_that_covers(&[(100, 1), (1_000, 2), (1_100, 3)], 1_000, Some(2))]
#[case::exactly_at_the_time(&[(1_000, 7)], 1_000, Some(7))]
fn the_oldest_covering_observation_is_chosen(
    #[case] entries: &[(u64, u64)],
    #[case] time: u64,
    #[case] expected: Option<u64>,
) {
    let found = observed(entries).covering(at(time));
    assert_eq!(found.map(|found| found.position.offset), expected);
}

#[rstest]
#[case::primary(ReadConsistency::Primary, None)]
#[case::bounded(
    ReadConsistency::BoundedStaleness { bound: Duration::from_millis(1_500) },
    Some((3_600, None))
)]
#[case::own_writes_of_a_new_session(
    ReadConsistency::ReadOwnWrites { bound: Duration::from_millis(2_500) },
    Some((4_000, Some(9)))
)]
fn the_consistency_of_a_route_determines_what_a_read_needs(
    #[case] consistency: ReadConsistency,
    #[case] expected: Option<(u64, Option<u64>)>,
) {
    let need = consistency.need(at(5_000), at(4_000), Some(position(9)));
    let actual = need.map(|need| (need.covered, need.own_commit));
    let expected =
        expected.map(|(covered, own): (u64, Option<u64>)| (at(covered), own.map(position)));
    assert_eq!(actual, expected);
}

#[test]
fn a_session_that_reconnected_needs_an_observation_made_since() {
    let bound = Duration::from_millis(2_500);
    let consistency = ReadConsistency::ReadOwnWrites { bound };
    let need = consistency
        .need(at(5_000), at(4_900), None)
        .expect("a need");
    assert_eq!(need.position(&observed(&[(4_800, 5)])), None);
    let since = observed(&[(4_800, 5), (4_950, 6)]);
    assert_eq!(need.position(&since), Some(position(6)));
}

#[test]
fn the_sessions_own_commit_counts_when_it_is_newer() {
    let bound = Duration::from_millis(2_500);
    let consistency = ReadConsistency::ReadOwnWrites { bound };
    let need = consistency.need(at(5_000), at(1_000), Some(position(8)));
    let observations = observed(&[(3_000, 5)]);
    let needed = need.and_then(|need| need.position(&observations));
    assert_eq!(needed, Some(position(8)));
}

proptest! {
    /// Whatever is recorded, a position that covers a time is never older than a commit that was
    /// acknowledged before that time.
    #[test]
    fn a_covering_position_holds_every_commit_acknowledged_before(
        steps in prop::collection::vec((1_u64..200, prop::bool::ANY), 1..80),
        age in 0_u64..2_000,
    ) {
        let mut observations = Observations::new(Duration::from_secs(2));
        let mut now = 0;
        let mut log = 0;
        let mut commits = Vec::new();
        for (pause, commits_now) in steps {
            now += pause;
            if commits_now {
                log += 1;
                commits.push((now, log));
            } else {
                let observation = Observation { position: position(log), sent: at(now) };
                observations.record(at(now), observation);
            }
        }
        let time = now.saturating_sub(age);
        if let Some(found) = observations.covering(at(time)) {
            for (acknowledged, offset) in commits {
                if acknowledged < time {
                    prop_assert!(found.position.offset >= offset);
                }
            }
        }
    }
}

#[rstest]
#[case::known_since_the_first(2, 900)]
#[case::the_first_that_holds_it_counts(3, 400)]
#[case::not_known(9, 0)]
fn a_positions_age_counts_from_when_it_was_first_known(#[case] offset: u64, #[case] age_ms: u64) {
    let observations = observed(&[(100, 2), (500, 2), (600, 4), (700, 4)]);
    let age = observations.age_of(position(offset), at(1_000));
    assert_eq!(age, Duration::from_millis(age_ms));
}

/// The lag estimated for replicas that are 150 ms behind, after requests for positions of the given ages in
/// milliseconds.
fn estimated_lag(ages_ms: impl IntoIterator<Item = u64>) -> Duration {
    let mut estimate = LagEstimate::default();
    let mut now = at(0);
    for age_ms in ages_ms {
        now = now + Duration::from_millis(20);
        estimate.record(now, Duration::from_millis(age_ms), age_ms >= 150);
    }
    estimate.value(now)
}

#[test]
fn a_lag_is_estimated_from_what_replicas_hold() {
    let lag = estimated_lag((0..500).map(|number| number * 37 % 300));
    let near = Duration::from_millis(120)..Duration::from_millis(160);
    assert!(near.contains(&lag), "{lag:?}");
}

#[rstest]
#[case::no_request(&[], 0)]
#[case::old_positions_show_no_lag(&[800, 900, 700], 0)]
#[case::a_replica_that_was_behind(&[100], 100)]
fn the_first_missing_position_sets_the_lag(#[case] ages_ms: &[u64], #[case] lag_ms: u64) {
    assert_eq!(
        estimated_lag(ages_ms.iter().copied()),
        Duration::from_millis(lag_ms)
    );
}

#[test]
fn an_unconfirmed_lag_decays() {
    let mut estimate = LagEstimate::default();
    estimate.record(at(0), Duration::from_millis(160), false);
    assert_eq!(estimate.value(at(4_000)), Duration::from_millis(80));
    assert!(estimate.value(at(60_000)) < Duration::from_millis(1));
}
