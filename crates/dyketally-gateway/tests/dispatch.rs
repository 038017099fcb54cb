//! When a statement counts as one that hasn't run.

use dyketally_gateway::statement::hand_over::HandOvers;
use rstest::rstest;

/// How one attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It found no connection.
    NotHandedOver,
    /// The database or a home rejected the statement unrun.
    Rejected,
    /// The connection broke, or nobody waits for the answer any more.
    Dropped,
}

const ENDS: [End; 3] = [End::NotHandedOver, End::Rejected, End::Dropped];

fn attempt(hand_overs: &HandOvers, end: End) {
    match end {
        End::NotHandedOver => {}
        End::Rejected => hand_overs.begin().rejected(),
        End::Dropped => drop(hand_overs.begin()),
    }
}

#[rstest]
fn a_statement_is_unrun_only_if_no_attempt_was_dropped(
    #[values(0, 1, 2)] first: usize,
    #[values(0, 1, 2)] second: usize,
    #[values(0, 1, 2)] third: usize,
) {
    let ends = [first, second, third].map(|end| ENDS[end]);
    let hand_overs = HandOvers::default();
    for end in ends {
        attempt(&hand_overs, end);
    }
    let may_have_run = ends.contains(&End::Dropped);
    assert_eq!(hand_overs.unrun().is_none(), may_have_run, "{ends:?}");
}

#[test]
fn a_statement_that_waits_for_an_answer_may_have_run() {
    let hand_overs = HandOvers::default();
    let running = hand_overs.begin();
    assert!(hand_overs.unrun().is_none());
    running.rejected();
    assert!(hand_overs.unrun().is_some());
}
