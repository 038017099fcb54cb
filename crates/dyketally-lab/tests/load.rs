//! Results of the load command: their figures, goals and file.

use dyketally_lab::load::{Figure, Goal, Line, LoadResult, Plot, Point, quantile};
use dyketally_lab::testbed::Site;
use rstest::rstest;

fn result(name: &str) -> LoadResult {
    let points = vec![Point { x: 0.0, y: 10.0 }, Point { x: 1.0, y: 30.0 }];
    LoadResult {
        name: name.to_owned(),
        summary: "How long <writes> wait".to_owned(),
        ended: 0,
        commit: None,
        seeds: vec![1, 2],
        site: Site::huber(),
        figures: vec![
            Figure::ours("gap", "ms", Some(Goal::AtMost(50.0)), vec![10.0, 30.0]),
            Figure::of("baseline", "gap", "ms", Some(Goal::AtMost(5.0)), vec![9.0]),
        ],
        plot: Plot {
            title: "Gap".to_owned(),
            horizontal: "round".to_owned(),
            vertical: "ms".to_owned(),
            lines: vec![Line {
                name: "dyketally".to_owned(),
                points,
            }],
        },
    }
}

#[rstest]
#[case(&[], 0.5, None)]
#[case(&[3.0], 0.99, Some(3.0))]
#[case(&[5.0, 1.0, 3.0], 0.5, Some(3.0))]
#[case(&[5.0, 1.0, 3.0], 0.0, Some(1.0))]
#[case(&[5.0, 1.0, 3.0], 1.0, Some(5.0))]
fn quantiles(#[case] values: &[f64], #[case] fraction: f64, #[case] expected: Option<f64>) {
    assert_eq!(quantile(values, fraction), expected);
}

#[rstest]
#[case(Some(Goal::AtMost(2.0)), &[1.0], Some(true))]
#[case(Some(Goal::AtMost(2.0)), &[3.0], Some(false))]
#[case(Some(Goal::AtLeast(2.0)), &[3.0], Some(true))]
#[case(Some(Goal::AtLeast(2.0)), &[1.0], Some(false))]
#[case(Some(Goal::AtLeast(2.0)), &[], None)]
#[case(None, &[1.0], None)]
fn goals(#[case] goal: Option<Goal>, #[case] values: &[f64], #[case] expected: Option<bool>) {
    let figure = Figure::ours("measure", "unit", goal, values.to_vec());
    assert_eq!(figure.is_met(), expected);
}

#[test]
fn a_result_is_kept_whole_in_its_file() {
    let directory = std::env::temp_dir().join(format!("dyketally-load-{}", std::process::id()));
    let written = result("load");
    let path = written.write(&directory).expect("written");
    let text = std::fs::read_to_string(&path).expect("a file");
    let read: LoadResult = serde_json::from_str(&text).expect("a result");
    assert_eq!(read, written);
    assert!(path.ends_with("load.json"), "{}", path.display());
    std::fs::remove_dir_all(&directory).expect("removed");
}
