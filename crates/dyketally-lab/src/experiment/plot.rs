//! Plots of lines as SVG.

use std::ops::Range;
use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use super::result::{Plot, Point};

const SIZE: (u32, u32) = (900, 480);
const MARGIN: u32 = 12;
const LABEL_SPACE: u32 = 52;
const TITLE_FONT: (&str, u32) = ("sans-serif", 20);
const POINT_RADIUS: u32 = 3;

/// Draws a plot to an SVG file.
///
/// # Errors
/// When the file can't be written.
pub fn draw(plot: &Plot, path: &Path) -> eyre::Result<()> {
    draw_with_backend(plot, path)
        .map_err(|error| eyre!("the plot {} can't be drawn: {error}", path.display()))
}

fn draw_with_backend(plot: &Plot, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (horizontal, vertical) = ranges(plot);
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, TITLE_FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_SPACE)
        .y_label_area_size(LABEL_SPACE)
        .build_cartesian_2d(horizontal, vertical)?;
    chart
        .configure_mesh()
        .x_desc(&plot.horizontal)
        .y_desc(&plot.vertical)
        .draw()?;
    for (index, line) in plot.lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = line.points.iter().map(|point| (point.x, point.y));
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
        chart.draw_series(points.map(|at| Circle::new(at, POINT_RADIUS, color.filled())))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn ranges(plot: &Plot) -> (Range<f64>, Range<f64>) {
    let points = || plot.lines.iter().flat_map(|line| &line.points);
    let horizontal = extent(points().map(|point: &Point| point.x));
    let vertical = extent(points().map(|point: &Point| point.y));
    (
        horizontal.start..horizontal.end,
        vertical.start.min(0.0)..vertical.end,
    )
}

/// The range of the values, never empty.
fn extent(values: impl Iterator<Item = f64>) -> Range<f64> {
    let (least, most) = values.fold(
        (f64::INFINITY, f64::NEG_INFINITY),
        |(least, most), value| (least.min(value), most.max(value)),
    );
    if least > most {
        return 0.0..1.0;
    }
    let room = ((most - least) * 0.05).max(f64::EPSILON);
    least..(most + room).max(least + 1e-6)
}
