//! Which sessions are closed to make room.

use std::time::Duration;

use dyketally_gateway::decision::make_room::Stillness;

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

/// A node with ordinary sessions only keeps them, and is full.
#[test]
fn sessions_that_have_asked_are_closed_for_others_alone() {
    assert!(Stillness::Connecting.gives_way_to_readiness());
    assert!(Stillness::Silent.gives_way_to_readiness());
    assert!(!Stillness::Idle.gives_way_to_readiness());
}
