//! When a statement is proven not to have run.

use dyketally_gateway::statement::dispatch::Dispatches;
use rstest::rstest;

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// No connection was found, so that the statement was not sent.
    NotSent,
    /// The database or a home rejected the statement without running it.
    Rejected,
    /// The connection broke, or the attempt no longer waits for the answer.
    Dropped,
}

const ENDS: [End; 3] = [End::NotSent, End::Rejected, End::Dropped];

fn attempt(dispatches: &Dispatches, end: End) {
    match end {
        End::NotSent => {}
        End::Rejected => dispatches.begin().rejected(),
        End::Dropped => drop(dispatches.begin()),
    }
}

#[rstest]
fn a_statement_is_unrun_only_if_no_attempt_was_dropped(
    #[values(0, 1, 2)] first: usize,
    #[values(0, 1, 2)] second: usize,
    #[values(0, 1, 2)] third: usize,
) {
    let ends = [first, second, third].map(|end| ENDS[end]);
    let dispatches = Dispatches::default();
    for end in ends {
        attempt(&dispatches, end);
    }
    let may_have_run = ends.contains(&End::Dropped);
    assert_eq!(
        dispatches.proven_not_run().is_none(),
        may_have_run,
        "{ends:?}"
    );
}

#[test]
fn a_statement_that_waits_for_an_answer_may_have_run() {
    let dispatches = Dispatches::default();
    let running = dispatches.begin();
    assert!(dispatches.proven_not_run().is_none());
    running.rejected();
    assert!(dispatches.proven_not_run().is_some());
}
