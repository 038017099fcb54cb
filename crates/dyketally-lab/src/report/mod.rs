//! Makes one page of all experiment results.

mod page;

use std::path::{Path, PathBuf};

use eyre::WrapErr;

use crate::experiment::{ExperimentResult, draw};

pub use page::page;

/// Name of the page in the directory of results.
const PAGE: &str = "report.html";

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Directory with the JSON results of experiments.
    pub directory: PathBuf,
}

/// Reads all results of a directory and writes the page and the plots beside them.
///
/// # Errors
/// When the directory has no results or a file can't be read or written.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let directory = &arguments.directory;
    let results = read_results(directory)?;
    if results.is_empty() {
        eyre::bail!(
            "{} holds no results; run `dyketally-lab experiment NAME --out {}` first",
            directory.display(),
            directory.display()
        );
    }
    let mut plots = Vec::new();
    for result in &results {
        let path = directory.join(format!("{}.svg", result.name));
        draw(&result.plot, &path)?;
        plots.push(std::fs::read_to_string(&path)?);
    }
    let path = directory.join(PAGE);
    std::fs::write(&path, page(&results, &plots))?;
    println!("report: {} results in {}", results.len(), path.display());
    Ok(())
}

fn read_results(directory: &Path) -> eyre::Result<Vec<ExperimentResult>> {
    let entries = std::fs::read_dir(directory)
        .wrap_err_with(|| format!("{} can't be read; name a directory", directory.display()))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            paths.push(path);
        }
    }
    paths.sort();
    paths
        .iter()
        .map(|path| ExperimentResult::read(path))
        .collect()
}
