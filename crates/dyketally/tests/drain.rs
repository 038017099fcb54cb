//! Planned stop of a node: its phases, actions and deadline.

use std::time::Duration;

use dyketally::drain::{NodeDrain, NodeDrainAction, NodeDrainPhase, NodeDrainSettings};
use dyketally::time::Timestamp;

const SETTINGS: NodeDrainSettings = NodeDrainSettings {
    announce_wait: Duration::from_millis(100),
    idle_caller_wait: Duration::from_millis(200),
    deadline: Duration::from_millis(1_000),
};

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn stopping() -> NodeDrain<&'static str> {
    let mut drain = NodeDrain::new(SETTINGS);
    drain.stop(at(0));
    assert_eq!(drain.poll(at(0)), [NodeDrainAction::AnnounceLeaving]);
    drain
}

#[test]
fn an_idle_node_stops_once_peers_are_informed() {
    let mut drain = stopping();
    assert!(drain.accepts_new_work());
    drain.peers_informed();
    let expected = [NodeDrainAction::TurnCallersAway, NodeDrainAction::Exit];
    assert_eq!(drain.poll(at(1)), expected);
    assert_eq!(drain.phase(), NodeDrainPhase::Done);
    assert_eq!(drain.next_wakeup(), None);
    assert!(drain.poll(at(2_000)).is_empty());
}

#[test]
fn silent_peers_delay_a_stop_by_the_announce_wait_at_most() {
    let mut drain = stopping();
    assert_eq!(drain.next_wakeup(), Some(at(100)));
    assert!(drain.poll(at(99)).is_empty());
    assert!(
        drain
            .poll(at(100))
            .contains(&NodeDrainAction::TurnCallersAway)
    );
}

#[test]
fn the_deadline_holds_while_peers_are_silent() {
    let mut drain = NodeDrain::<&str>::new(NodeDrainSettings {
        announce_wait: Duration::from_secs(60),
        ..SETTINGS
    });
    drain.stop(at(0));
    drain.begin("caller");
    assert!(drain.poll(at(1_000)).contains(&NodeDrainAction::Exit));
}

#[test]
fn requests_in_flight_end_before_the_exit() {
    let mut drain = NodeDrain::new(SETTINGS);
    drain.begin("caller");
    drain.begin("order");
    drain.begin("transaction");
    drain.stop(at(0));
    drain.poll(at(100));
    assert!(!drain.accepts_new_work());
    drain.end(&"order");
    assert!(drain.poll(at(200)).is_empty());
    drain.end(&"transaction");
    assert!(
        drain.poll(at(250)).is_empty(),
        "the caller may still read its answer"
    );
    drain.end(&"caller");
    assert_eq!(drain.poll(at(260)), [NodeDrainAction::Exit]);
    assert!(drain.cut().is_empty());
}

#[test]
fn idle_callers_are_closed_after_their_wait() {
    let mut drain = NodeDrain::<&str>::new(SETTINGS);
    drain.begin("caller");
    drain.stop(at(0));
    drain.poll(at(100));
    assert_eq!(drain.next_wakeup(), Some(at(300)));
    assert_eq!(drain.poll(at(300)), [NodeDrainAction::CloseIdleCallers]);
    drain.end(&"caller");
    assert_eq!(drain.poll(at(301)), [NodeDrainAction::Exit]);
}

#[test]
fn the_deadline_names_the_requests_that_are_cut_off() {
    let mut drain = NodeDrain::new(SETTINGS);
    drain.begin("slow");
    drain.stop(at(0));
    drain.poll(at(100));
    drain.poll(at(300));
    assert_eq!(drain.next_wakeup(), Some(at(1_000)));
    let work = vec!["slow"];
    let expected = [NodeDrainAction::Cut { work }, NodeDrainAction::Exit];
    assert_eq!(drain.poll(at(1_000)), expected);
    assert_eq!(drain.cut(), ["slow"]);
}

#[test]
fn a_second_stop_does_not_move_the_deadline() {
    let mut drain = NodeDrain::new(SETTINGS);
    drain.begin("slow");
    drain.stop(at(0));
    drain.stop(at(900));
    let actions = drain.poll(at(1_000));
    assert!(actions.contains(&NodeDrainAction::Exit), "{actions:?}");
}
