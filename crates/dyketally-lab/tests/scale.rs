//! A small scale run, so that the tool itself stays whole.

use dyketally_lab::scale::{Arguments, Part, run_fleet};
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
