//! The result of a run, as it is kept in a file: figures with their goals, and a plot's points.

use std::path::{Path, PathBuf};

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use crate::testbed::Site;

/// Result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    /// Name of the result, and of its file.
    pub name: String,
    /// What it shows, in one sentence.
    pub summary: String,
    /// When it ended, in seconds since 1970.
    pub ended: u64,
    /// The commit that was measured, if it was told.
    pub commit: Option<String>,
    /// The seeds of its rounds.
    pub seeds: Vec<u64>,
    /// The site it ran on.
    pub site: Site,
    /// What was measured.
    pub figures: Vec<Figure>,
    /// What is plotted.
    pub plot: Plot,
}

/// One measured quantity of one variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The system or baseline that was measured.
    pub variant: String,
    /// The unit of the values.
    pub unit: String,
    /// The goal, where there is one.
    pub goal: Option<Goal>,
    /// One value for each round, or a single one.
    pub values: Vec<f64>,
}

/// A bound that the median of a figure should keep.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Values up to this one are good.
    AtMost(f64),
    /// Values from this one are good.
    AtLeast(f64),
}

/// A plot of lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plot {
    /// Its title.
    pub title: String,
    /// What the horizontal axis shows.
    pub horizontal: String,
    /// What the vertical axis shows.
    pub vertical: String,
    /// The lines.
    pub lines: Vec<Line>,
}

/// One line of a plot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points, from left to right.
    pub points: Vec<Point>,
}

/// One point of a line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Horizontal place.
    pub x: f64,
    /// Vertical place.
    pub y: f64,
}

impl Figure {
    /// A figure of this system.
    pub fn ours(name: &str, unit: &str, goal: Option<Goal>, values: Vec<f64>) -> Self {
        Self::of("dyketally", name, unit, goal, values)
    }

    /// A figure of any variant.
    pub fn of(variant: &str, name: &str, unit: &str, goal: Option<Goal>, values: Vec<f64>) -> Self {
        Self {
            name: name.to_owned(),
            variant: variant.to_owned(),
            unit: unit.to_owned(),
            goal,
            values,
        }
    }

    /// The middle value; none without values.
    pub fn median(&self) -> Option<f64> {
        quantile(&self.values, 0.5)
    }

    /// The smallest value; none without values.
    pub fn least(&self) -> Option<f64> {
        quantile(&self.values, 0.0)
    }

    /// The largest value; none without values.
    pub fn most(&self) -> Option<f64> {
        quantile(&self.values, 1.0)
    }

    /// Whether the median keeps the goal; none without a goal or values.
    pub fn is_met(&self) -> Option<bool> {
        let median = self.median()?;
        self.goal.map(|goal| match goal {
            Goal::AtMost(bound) => median <= bound,
            Goal::AtLeast(bound) => median >= bound,
        })
    }
}

impl std::fmt::Display for Goal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Goal::AtMost(bound) => write!(formatter, "at most {bound}"),
            Goal::AtLeast(bound) => write!(formatter, "at least {bound}"),
        }
    }
}

/// The value below which the share `fraction` of the values lies; none without values.
pub fn quantile(values: &[f64], fraction: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().checked_sub(1)?;
    let place = (last as f64 * fraction).round() as usize;
    sorted.get(place).copied()
}

impl LoadResult {
    /// Writes the result to `<name>.json` in a directory; gives the path.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn write(&self, directory: &Path) -> eyre::Result<PathBuf> {
        std::fs::create_dir_all(directory)?;
        let path = directory.join(format!("{}.json", self.name));
        std::fs::write(&path, serde_json::to_string_pretty(self)?)
            .wrap_err_with(|| format!("{} can't be written", path.display()))?;
        Ok(path)
    }
}
