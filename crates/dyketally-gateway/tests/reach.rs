//! How long statements wait for a primary that can't be used.

use std::time::Duration;

use dyketally_gateway::database::availability::PrimaryAvailability;
use dyketally_gateway::decision::wait;
use rstest::rstest;
use tokio::time::{Instant, advance};

const PAUSE: Duration = Duration::from_millis(400);

/// Attempts each 0.4 s: the primary is waited for until 1.5 s after the first of them.
#[rstest]
#[case(0, false)]
#[case(1, false)]
#[case(3, false)]
#[case(4, true)]
#[case(9, true)]
#[tokio::test(start_paused = true)]
async fn a_primary_is_unavailable_once_attempts_failed_for_long(
    #[case] attempts: u32,
    #[case] out_of_reach: bool,
) {
    let unled = PrimaryAvailability::default();
    for _ in 0..attempts {
        unled.attempt_failed();
        assert!(unled.wait_until(Instant::now() + PAUSE * 9) > Instant::now());
        advance(PAUSE).await;
    }
    unled.attempt_failed();
    assert_eq!(wait::is_unavailable(unled.missing_for()), out_of_reach);
}

#[tokio::test(start_paused = true)]
async fn an_answer_ends_it() {
    let unled = PrimaryAvailability::default();
    for _ in 0..9 {
        unled.attempt_failed();
        advance(PAUSE).await;
    }
    assert!(wait::is_unavailable(unled.missing_for()));
    unled.answered();
    assert!(!wait::is_unavailable(unled.missing_for()));
}

/// Two losses that lie apart are two: the second primary is waited for as long as the first.
#[tokio::test(start_paused = true)]
async fn a_loss_long_ago_doesnt_shorten_the_next_wait() {
    let unled = PrimaryAvailability::default();
    unled.attempt_failed();
    advance(PAUSE * 9).await;
    unled.attempt_failed();
    assert!(!wait::is_unavailable(unled.missing_for()));
    let latest = Instant::now() + PAUSE * 9;
    assert!(unled.wait_until(latest) > Instant::now() + PAUSE * 3);
}

#[tokio::test(start_paused = true)]
async fn nobody_waits_past_the_statements_time() {
    let unled = PrimaryAvailability::default();
    let latest = Instant::now() + PAUSE / 10;
    assert_eq!(unled.wait_until(latest), latest);
}
