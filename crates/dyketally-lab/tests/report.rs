//! Results of experiments, their figures, plots and the page.

use dyketally_lab::bench::Site;
use dyketally_lab::experiment::{
    ExperimentResult, Figure, Goal, Line, Plot, Point, draw, quantile,
};
use dyketally_lab::report::{Arguments, page, run};
use rstest::rstest;

fn result(name: &str) -> ExperimentResult {
    let points = vec![Point { x: 0.0, y: 10.0 }, Point { x: 1.0, y: 30.0 }];
    ExperimentResult {
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
fn the_page_shows_figures_goals_and_plots() {
    let page = page(
        &[result("failover")],
        &["<?xml?><svg>plot</svg>".to_owned()],
    );
    assert!(page.contains("How long &lt;writes&gt; wait"));
    assert!(page.contains("<td class=\"met\">at most 50</td>"));
    assert!(page.contains("<td class=\"missed\">at most 5</td>"));
    assert!(page.contains("<svg>plot</svg>"));
    assert!(!page.contains("<?xml?>"));
}

#[test]
fn a_plot_without_points_can_be_drawn() {
    let directory = std::env::temp_dir().join(format!("dyketally-plot-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join("empty.svg");
    draw(&Plot::default(), &path).expect("drawn");
    assert!(path.exists());
    std::fs::remove_dir_all(&directory).expect("removed");
}

#[tokio::test]
async fn results_in_a_directory_become_one_page() {
    let directory = std::env::temp_dir().join(format!("dyketally-report-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let arguments = Arguments {
        directory: directory.clone(),
    };
    assert!(run(arguments.clone()).await.is_err(), "nothing to report");
    for name in ["failover", "replica-reads"] {
        let written = result(name);
        let path = written.write(&directory).expect("written");
        assert_eq!(ExperimentResult::read(&path).expect("read"), written);
    }
    run(arguments).await.expect("reported");
    let page = std::fs::read_to_string(directory.join("report.html")).expect("a page");
    assert_eq!(page.matches("<svg").count(), 2);
    std::fs::remove_dir_all(&directory).expect("removed");
}
