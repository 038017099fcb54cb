//! The figures and the plot of the experiment.

use std::collections::BTreeSet;

use crate::experiment::result::{Figure, Line, Plot, Point, quantile};

use super::Cell;
use super::conditions::CONDITIONS;
use super::load::Measured;
use super::way::Way;

/// What was measured, and where the primary and its home were.
pub(super) fn summary(cells: &[Cell]) -> String {
    let rounds = cells.iter().flat_map(|cell| &cell.rounds);
    let places: BTreeSet<&str> = rounds.map(|round| round.place.as_str()).collect();
    let places: Vec<&str> = places.into_iter().collect();
    format!(
        "Autocommit writes of four callers in turn by each way, and reads with and without a \
         position. The primary's word is measured straight at the primary, over the link that \
         its home uses. Readers are in another zone. Where: {}.",
        places.join("; ")
    )
}

/// The figures of one way under one set of conditions; one value for each round.
pub(super) fn of_cell(cell: &Cell) -> Vec<Figure> {
    let variant = cell.way.to_string();
    let figure = |what: &str, unit: &str, value: &dyn Fn(&Measured) -> Option<f64>| {
        let name = format!("{what}, {}", cell.conditions);
        let values = cell.rounds.iter().filter_map(value).collect();
        Figure::of(&variant, &name, unit, None, values)
    };
    let latency = |share: f64| move |round: &Measured| quantile(&round.latencies_ms, share);
    vec![
        figure("median", "ms", &latency(0.5)),
        figure("p99", "ms", &latency(0.99)),
        figure("rate", "1/s", &|round| Some(round.rate())),
        figure("unknown", "", &|round| Some(round.unknown as f64)),
        figure("not run", "", &|round| Some(round.not_run as f64)),
        figure("refused", "", &|round| Some(round.refused as f64)),
    ]
}

/// The median of the rounds' medians, for each way that writes.
pub(super) fn plot(cells: &[Cell]) -> Plot {
    let writes = Way::ALL.into_iter().filter(|way| way.writes());
    Plot {
        title: String::from("Median time of a write by how it is confirmed"),
        horizontal: String::from(
            "delay between zones / lag: 0, 0.5, 1.5 ms / 0; 0.5 ms / 5 ms; 0.5 ms / 50 ms",
        ),
        vertical: String::from("ms"),
        lines: writes.map(|way| line(cells, way)).collect(),
    }
}

fn line(cells: &[Cell], way: Way) -> Line {
    let points = CONDITIONS
        .iter()
        .enumerate()
        .filter_map(|(place, conditions)| {
            let mut cells = cells.iter();
            let cell = cells.find(|it| it.is_of(*conditions, way))?;
            let median = of_cell(cell).first()?.median()?;
            Some(Point {
                x: place as f64,
                y: median,
            })
        });
    Line {
        name: way.to_string(),
        points: points.collect(),
    }
}
