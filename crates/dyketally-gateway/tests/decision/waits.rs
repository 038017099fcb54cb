//! How long statements wait in a queue, and for a primary.

use std::time::Duration;

use dyketally_gateway::decision::{admit, wait};
use rstest::rstest;

#[rstest]
#[case::shares_of_the_objective(1_000, 500, 125)]
#[case::the_shortest_wait_in_a_standing_queue(400, 200, 50)]
#[case::the_shortest_wait_in_a_burst(80, 50, 50)]
fn in_a_queue(#[case] objective_ms: u64, #[case] burst_ms: u64, #[case] standing_ms: u64) {
    let timeouts = admit::queue_timeouts(Duration::from_millis(objective_ms));
    assert_eq!(timeouts.burst, Duration::from_millis(burst_ms));
    assert_eq!(timeouts.standing, Duration::from_millis(standing_ms));
}

#[rstest]
#[case::no_attempt_failed_before(0, 1_500, false)]
#[case::being_replaced(1_000, 500, false)]
#[case::one_attempt_and_a_pause(1_460, 50, false)]
#[case::missing_for_long(1_500, 50, true)]
#[case::missing_for_longer(9_000, 50, true)]
fn for_a_primary(#[case] missing_ms: u64, #[case] expected_ms: u64, #[case] is_unavailable: bool) {
    let missing_for = Duration::from_millis(missing_ms);
    let expected = Duration::from_millis(expected_ms);
    assert_eq!(wait::primary_wait(missing_for), expected);
    assert_eq!(wait::is_unavailable(missing_for), is_unavailable);
}

#[rstest]
#[case(0, true)]
#[case(999, true)]
#[case(1_000, false)]
fn attempts_of_one_loss(#[case] since_last_ms: u64, #[case] expected: bool) {
    assert_eq!(
        wait::is_same_outage(Duration::from_millis(since_last_ms)),
        expected
    );
}
