//! A small scale run, so that the tool itself stays whole.

use dyketally::membership::{Addresses, Incarnation, Member, MemberState};
use dyketally::policy::Revision;
use dyketally_lab::scale::{
    Arguments, Part, Processes, live_processes, node_name, run_fleet, zone,
};
use rstest::rstest;

fn arguments(part: Part) -> Arguments {
    Arguments {
        nodes: 12,
        databases: 20,
        rest: 0,
        parts: vec![part],
        seed: 1,
        output: None,
    }
}

#[rstest]
#[case::configuration(Part::Configuration, &["start", "configure", "rest", "changes", "outage"])]
#[case::churn(Part::Churn, &["start", "rest", "deaths", "replacements"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_small_run_comes_to_its_end(#[case] part: Part, #[case] phases: &[&str]) {
    let result = run_fleet(&arguments(part)).await.expect("runs");
    let names: Vec<_> = result
        .phases
        .iter()
        .map(|phase| phase.name.as_str())
        .collect();
    assert_eq!(names, phases);
    assert_eq!(result.moved.needless, 0);
    let timings = result.phases.iter().flat_map(|phase| &phase.timings);
    for timing in timings {
        assert_eq!(timing.missing, 0, "{timing:?}");
    }
    assert!(result.to_tables().contains("12 nodes"));
}

#[tokio::test]
async fn a_fleet_without_two_nodes_a_zone_is_refused() {
    let mut arguments = arguments(Part::Zone);
    arguments.nodes = 3;
    let error = run_fleet(&arguments).await.expect_err("refused");
    assert!(error.to_string().contains("at least 12"), "{error}");
}

fn member(number: usize, started: u64, state: MemberState) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member {
        node: node_name(number),
        incarnation: Incarnation::of_start(started),
        locality: zone(number),
        addresses: Addresses {
            membership: address,
            peers: address,
            admin: address,
        },
        weight: 100,
        leaving: false,
        state,
        revision: Revision::default(),
    }
}

/// A view that holds a replaced process live holds as many nodes live as are running, but not the
/// processes that run.
#[rstest]
#[case::up_to_date(&[(0, 1, MemberState::Alive), (1, 5, MemberState::Alive)], true)]
#[case::former_process(&[(0, 1, MemberState::Alive), (1, 2, MemberState::Alive)], false)]
#[case::former_process_suspected(&[(0, 1, MemberState::Alive), (1, 2, MemberState::Suspect)], false)]
#[case::suspected(&[(0, 1, MemberState::Alive), (1, 5, MemberState::Suspect)], true)]
#[case::held_dead(&[(0, 1, MemberState::Alive), (1, 5, MemberState::Dead)], false)]
fn a_view_agrees_only_with_the_running_processes(
    #[case] view: &[(usize, u64, MemberState)],
    #[case] agrees: bool,
) {
    let running = Processes::from([(node_name(0), 1), (node_name(1), 5)]);
    let members = view
        .iter()
        .map(|(number, started, state)| member(*number, *started, *state));
    let members: Vec<_> = members.collect();
    assert_eq!(live_processes(&members) == running, agrees);
}
