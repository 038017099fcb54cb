//! Which sessions are closed to make room.

use std::time::Duration;

use dyketally_gateway::decision::make_room::{Stillness, may_close_another};
use tokio::time::Instant;

/// 3,900 connections that stopped within their first message kept ordinary callers out.
#[test]
fn connections_that_have_asked_for_nothing_are_closed_first() {
    let order = [Stillness::Connecting, Stillness::Silent, Stillness::Idle];
    assert_eq!(Stillness::ALL, order);
}

/// Two probes of readiness, after which the platform takes a node that serves nobody for a failed one.
#[test]
fn room_is_made_before_a_node_counts_as_failed() {
    for stillness in Stillness::ALL {
        assert!(
            stillness.protection() < Duration::from_secs(2),
            "{stillness:?}"
        );
    }
}

/// A crowd whose sessions are closed comes back at once: 1,800 sessions a second took the processor.
#[test]
fn sessions_are_closed_for_new_ones_at_a_bounded_rate() {
    let last = Instant::now();
    let after = |milliseconds| last + Duration::from_millis(milliseconds);
    assert!(may_close_another(None, last));
    assert!(!may_close_another(Some(last), after(4)));
    assert!(may_close_another(Some(last), after(5)));
}

/// A node with ordinary sessions only keeps them, and is full.
#[test]
fn sessions_that_have_asked_are_closed_for_others_alone() {
    assert!(Stillness::Connecting.gives_way_to_readiness());
    assert!(Stillness::Silent.gives_way_to_readiness());
    assert!(!Stillness::Idle.gives_way_to_readiness());
}
