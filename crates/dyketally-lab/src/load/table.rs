//! Figures as a table for the terminal.

use tabled::settings::Style;
use tabled::{Table, Tabled};

use super::result::Figure;

#[derive(Tabled)]
struct FigureRow {
    measure: String,
    variant: String,
    median: String,
    least: String,
    most: String,
    unit: String,
    values: usize,
    goal: String,
}

/// The figures as a table.
pub fn figure_table(figures: &[Figure]) -> String {
    let rows = figures.iter().map(row);
    Table::new(rows).with(Style::sharp()).to_string()
}

fn row(figure: &Figure) -> FigureRow {
    let number = |value: Option<f64>| value.map_or(String::new(), |value| format!("{value:.2}"));
    let goal = match (figure.goal, figure.is_met()) {
        (Some(goal), Some(true)) => format!("{goal}: met"),
        (Some(goal), Some(false)) => format!("{goal}: missed"),
        (Some(goal), None) => goal.to_string(),
        (None, _) => String::new(),
    };
    FigureRow {
        measure: figure.name.clone(),
        variant: figure.variant.clone(),
        median: number(figure.median()),
        least: number(figure.least()),
        most: number(figure.most()),
        unit: figure.unit.clone(),
        values: figure.values.len(),
        goal,
    }
}
