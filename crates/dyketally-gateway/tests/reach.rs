//! Tests how long statements wait for a primary that can't be used.

use std::time::Duration;

use dyketally_gateway::database::availability::PrimaryAvailability;
use dyketally_gateway::decision::wait;
use rstest::rstest;
use tokio::time::{Instant, advance};

const PAUSE: Duration = Duration::from_millis(400);

/// With one attempt every 0.4 s, statements wait for the primary until 1.5 s after the first attempt.
#[rstest]
#[case(0, false)]
#[case(1, false)]
#[case(3, false)]
#[case(4, true)]
#[case(9, true)]
#[tokio::test(start_paused = true)]
async fn a_primary_is_unavailable_once_attempts_failed_for_long(
    #[case] attempts: u32,
    #[case] unavailable: bool,
) {
    let availability = PrimaryAvailability::default();
    for _ in 0..attempts {
        availability.record_failed_attempt();
        assert!(availability.wait_until(Instant::now() + PAUSE * 9) > Instant::now());
        advance(PAUSE).await;
    }
    availability.record_failed_attempt();
    assert_eq!(
        wait::is_unavailable(availability.missing_for()),
        unavailable
    );
}

#[tokio::test(start_paused = true)]
async fn an_answer_ends_the_unavailability() {
    let availability = PrimaryAvailability::default();
    for _ in 0..9 {
        availability.record_failed_attempt();
        advance(PAUSE).await;
    }
    assert!(wait::is_unavailable(availability.missing_for()));
    availability.record_answer();
    assert!(!wait::is_unavailable(availability.missing_for()));
}

/// Failed attempts that lie far apart belong to separate losses: statements wait for the primary in full again.
#[tokio::test(start_paused = true)]
async fn a_loss_long_ago_doesnt_shorten_the_next_wait() {
    let availability = PrimaryAvailability::default();
    availability.record_failed_attempt();
    advance(PAUSE * 9).await;
    availability.record_failed_attempt();
    assert!(!wait::is_unavailable(availability.missing_for()));
    let latest = Instant::now() + PAUSE * 9;
    assert!(availability.wait_until(latest) > Instant::now() + PAUSE * 3);
}

#[tokio::test(start_paused = true)]
async fn a_wait_never_exceeds_the_statements_time() {
    let availability = PrimaryAvailability::default();
    let latest = Instant::now() + PAUSE / 10;
    assert_eq!(availability.wait_until(latest), latest);
}
