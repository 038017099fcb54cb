//! The gate in front of a database: limits on statements in flight, expected waits and queue timeouts.

use std::time::Duration;

use dyketally::admission::{Gate, InFlightLimit, QueueTimeouts};
use dyketally::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// The number of statements that `limit` lets be in flight.
fn max_in_flight(limit: &InFlightLimit) -> u32 {
    (0..1_000)
        .find(|in_flight| !limit.admits(*in_flight))
        .unwrap_or(u32::MAX)
}

#[rstest]
#[case::one_home(3, 1, 9)]
#[case::three_homes(3, 3, 3)]
#[case::shares_are_rounded_up(5, 4, 4)]
#[case::many_nodes(3, 71, 2)]
#[case::no_node_is_known(3, 0, 9)]
fn slots_are_divided_among_nodes(
    #[case] slots: u32,
    #[case] holders: usize,
    #[case] expected: u32,
) {
    let mut limit = InFlightLimit::default();
    limit.set_share(slots, holders);
    assert_eq!(max_in_flight(&limit), expected);
}

#[test]
fn rejections_lower_the_limit_and_answers_raise_it() {
    let mut limit = InFlightLimit::default();
    limit.set_share(8, 1);
    limit.record_rejection(at(0));
    assert_eq!(max_in_flight(&limit), 18);
    for _ in 0..500 {
        limit.record_answer();
    }
    assert_eq!(max_in_flight(&limit), 24);
}

#[test]
fn rejections_at_about_the_same_time_count_once_and_the_limit_stays_above_zero() {
    let mut limit = InFlightLimit::default();
    limit.set_share(8, 1);
    limit.record_rejection(at(0));
    limit.record_rejection(at(10));
    assert_eq!(max_in_flight(&limit), 18);
    for refusal in 1..100 {
        limit.record_rejection(at(refusal * 100));
    }
    assert_eq!(max_in_flight(&limit), 1);
}

#[test]
fn a_new_share_keeps_the_lowered_limit() {
    let mut limit = InFlightLimit::default();
    limit.set_share(8, 1);
    limit.record_rejection(at(0));
    limit.set_share(8, 2);
    assert_eq!(max_in_flight(&limit), 12);
    limit.set_share(8, 1);
    assert_eq!(max_in_flight(&limit), 12);
}

/// A gate of a database with one slot, at which a statement ends every 10 ms while others wait.
fn busy_gate() -> Gate {
    let mut gate = Gate::default();
    gate.set_share(1, 1);
    for _ in 0..3 {
        gate.record_begin();
    }
    gate.record_waiting(at(0), 2);
    for ended in 1..20 {
        gate.record_end(at(ended * 10));
        gate.record_begin();
    }
    gate
}

#[test]
fn no_wait_is_expected_before_a_measurement() {
    assert_eq!(Gate::default().expected_wait(1), None);
}

#[rstest]
#[case::behind_no_statement(1, 10)]
#[case::behind_one_of_its_rank(2, 20)]
#[case::behind_one_of_a_better_rank(3, 20)]
fn the_wait_follows_from_the_statements_ahead(#[case] rank: u32, #[case] expected_ms: u64) {
    let expected = busy_gate().expected_wait(rank);
    assert_eq!(expected, Some(Duration::from_millis(expected_ms)));
}

#[test]
fn a_statement_that_left_the_queue_is_no_longer_ahead() {
    let mut gate = busy_gate();
    gate.record_left_queue(2);
    assert_eq!(gate.expected_wait(2), Some(Duration::from_millis(10)));
}

#[test]
fn times_without_waiters_are_not_measured() {
    let mut gate = busy_gate();
    gate.record_left_queue(2);
    gate.record_end(at(200));
    gate.record_begin();
    gate.record_end(at(60_000));
    assert_eq!(gate.expected_wait(2), Some(Duration::from_millis(10)));
}

#[test]
fn a_full_gate_admits_again_when_something_ends() {
    let mut gate = Gate::default();
    gate.set_share(1, 1);
    for _ in 0..3 {
        assert!(gate.admits());
        gate.record_begin();
    }
    assert!(!gate.admits());
    gate.record_end(at(1));
    assert!(gate.admits());
}

#[test]
fn the_time_until_an_answer_counts_as_lost_follows_from_usual_run_times() {
    let mut gate = Gate::default();
    assert_eq!(gate.answer_lost_after(), Duration::from_millis(200));
    for _ in 0..50 {
        gate.record_answer(Duration::from_millis(10));
    }
    assert_eq!(gate.answer_lost_after(), Duration::from_millis(60));
    for _ in 0..50 {
        gate.record_answer(Duration::from_millis(100));
    }
    let silence = gate.answer_lost_after();
    assert!(silence >= Duration::from_millis(99), "{silence:?}");
    for _ in 0..50 {
        gate.record_answer(Duration::from_secs(5));
    }
    assert_eq!(gate.answer_lost_after(), Duration::from_millis(400));
}

#[rstest]
#[case::a_queue_that_has_just_formed(0, 999, 500)]
#[case::a_standing_queue(0, 1_000, 50)]
fn a_standing_queue_has_the_shorter_timeout(
    #[case] began: u64,
    #[case] now: u64,
    #[case] expected_ms: u64,
) {
    let timeouts = QueueTimeouts {
        burst: Duration::from_millis(500),
        standing: Duration::from_millis(50),
    };
    let mut gate = Gate::default();
    gate.record_waiting(at(began), 2);
    let expected = Duration::from_millis(expected_ms);
    assert_eq!(gate.queue_timeout(at(now), timeouts), expected);
}

#[test]
fn a_queue_that_was_empty_has_the_burst_timeout_again() {
    let timeouts = QueueTimeouts {
        burst: Duration::from_millis(500),
        standing: Duration::from_millis(50),
    };
    let mut gate = Gate::default();
    gate.record_waiting(at(0), 2);
    gate.record_waiting(at(500), 1);
    gate.record_left_queue(2);
    assert_eq!(gate.queue_timeout(at(1_500), timeouts), timeouts.standing);
    gate.record_left_queue(1);
    gate.record_waiting(at(1_600), 2);
    assert_eq!(gate.queue_timeout(at(1_700), timeouts), timeouts.burst);
}
