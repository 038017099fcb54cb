//! Runs an experiment on the users' measures.

mod confirmation;
mod failover;
mod plot;
mod progress;
mod replica_reads;
mod result;
mod settings;
mod table;

pub use plot::draw;
pub use progress::{Progress, now_seconds};
pub use result::{ExperimentResult, Figure, Goal, Line, Plot, Point, quantile};
pub use settings::{Arguments, Experiment, ExperimentSettings};
pub use table::figure_table;

/// Runs one experiment, prints its figures and writes its result and plot.
///
/// # Errors
/// When the site can't be started or the experiment could not be run to its end.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let settings = ExperimentSettings::read(&arguments)?;
    let mut result = match arguments.name {
        Experiment::Confirmation => confirmation::run(&settings).await?,
        Experiment::Failover => failover::run(&settings).await?,
        Experiment::ReplicaReads => replica_reads::run(&settings).await?,
    };
    result.commit = arguments.commit;
    let path = result.write(&arguments.out)?;
    let plot = path.with_extension("svg");
    draw(&result.plot, &plot)?;
    println!("{}", figure_table(&result.figures));
    println!("{}: result in {}", result.name, path.display());
    Ok(())
}
