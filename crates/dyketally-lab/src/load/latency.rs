//! Latency of single reads, one at a time, target after target in short turns.

use std::time::Instant;

use super::result::{Figure, Goal, Line, Plot, Point, quantile};
use super::target::{Reader, Target, TargetKind};

/// Reads of one target before the next one's turn.
const TURN: usize = 50;

/// Reads of each target before measuring begins.
const WARM_UP: usize = 200;

/// Goal for the added median, in microseconds.
const ADDED_MEDIAN_GOAL: f64 = 150.0;

/// Quantiles that are plotted.
const PLOTTED: [f64; 9] = [0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999];

struct Measured {
    kind: TargetKind,
    reader: Reader,
    microseconds: Vec<f64>,
}

/// Measures the latency of each target.
pub(super) async fn measure(targets: &[Target], reads: usize) -> eyre::Result<(Vec<Figure>, Plot)> {
    let mut measured = Vec::new();
    for target in targets {
        let mut reader = target.connect().await?;
        for _ in 0..WARM_UP {
            reader.read().await?;
        }
        measured.push(Measured {
            kind: target.kind,
            reader,
            microseconds: Vec::with_capacity(reads),
        });
    }
    for _ in 0..reads.div_ceil(TURN) {
        for target in &mut measured {
            take_turn(target).await?;
        }
    }
    Ok((figures(&measured), plot(&measured)))
}

async fn take_turn(target: &mut Measured) -> eyre::Result<()> {
    for _ in 0..TURN {
        let started = Instant::now();
        target.reader.read().await?;
        let elapsed = started.elapsed();
        target.microseconds.push(elapsed.as_secs_f64() * 1e6);
    }
    Ok(())
}

fn figures(measured: &[Measured]) -> Vec<Figure> {
    let mut figures = Vec::new();
    let direct = measured.iter().find(|it| it.kind == TargetKind::Direct);
    for target in measured {
        for (name, fraction) in [("median", 0.5), ("p99", 0.99)] {
            let Some(value) = quantile(&target.microseconds, fraction) else {
                continue;
            };
            let variant = target.kind.name();
            let name = format!("read latency, {name}");
            figures.push(Figure::of(variant, &name, "µs", None, vec![value]));
            let base = direct.and_then(|direct| quantile(&direct.microseconds, fraction));
            if let Some(base) = base.filter(|_| target.kind != TargetKind::Direct) {
                let goal = (fraction == 0.5).then_some(Goal::AtMost(ADDED_MEDIAN_GOAL));
                let name = format!("added {name}");
                figures.push(Figure::of(variant, &name, "µs", goal, vec![value - base]));
            }
        }
    }
    figures
}

fn plot(measured: &[Measured]) -> Plot {
    let line = |target: &Measured| {
        let point = |x| {
            Some(Point {
                x,
                y: quantile(&target.microseconds, x)?,
            })
        };
        Line {
            name: target.kind.name().to_owned(),
            points: PLOTTED.into_iter().filter_map(point).collect(),
        }
    };
    Plot {
        title: String::from("Latency of point reads"),
        horizontal: String::from("share of reads"),
        vertical: String::from("µs"),
        lines: measured.iter().map(line).collect(),
    }
}
