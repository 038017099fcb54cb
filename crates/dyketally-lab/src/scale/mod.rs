//! The scale run: many hollow nodes in one process, on real sockets and a real clock.
//!
//! A hollow node is the daemon without callers and databases: the same membership, placement and
//! configuration, on sockets of the loopback interface. The run starts them, lets them rest,
//! publishes changes, kills and replaces nodes, drops a zone, parts the regions and takes the
//! key-value service away, and reports what a node spends and how long each takes.

mod fleet;
mod hollow;
mod layout;
mod measure;
mod observe;
mod partition;
mod phases;
mod result;
mod usage;

use std::path::PathBuf;
use std::time::Duration;

use clap::ValueEnum;
use eyre::{WrapErr, ensure};

pub use fleet::{Fleet, Processes, live_processes};
pub use layout::{REGIONS, ZONES, node_name, zone};
pub use result::{Moved, Phase, RunResult, Spread, Timing};

use measure::measure;
use usage::resident_bytes;

/// Smallest fleet that leaves a node in each zone when others are killed.
const FEWEST_NODES: usize = 2 * ZONES;

/// Deaths in the phase of deaths; four on an ordinary day.
const DEATHS: usize = 4;

/// Replacements in their phase.
const REPLACEMENTS: usize = 8;

/// Changes in their phase.
const CHANGES: usize = 4;

/// Longest wait for the fleet to start and to be configured.
const START_PATIENCE: Duration = Duration::from_secs(60);

/// Time until the news of the start has died out.
const SETTLING_TIME: Duration = Duration::from_secs(12);

/// Parts of a run that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Changes of the configuration, and an outage of the service.
    Configuration,
    /// Deaths and replacements.
    Churn,
    /// The loss of a zone.
    Zone,
    /// A cut between regions.
    Regions,
}

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Hollow nodes.
    #[arg(long, default_value_t = 610)]
    pub nodes: usize,
    /// Databases in the configuration.
    #[arg(long, default_value_t = 670)]
    pub databases: usize,
    /// Seconds of rest that are measured, once the news of the start has died out.
    #[arg(long, default_value_t = 8)]
    pub rest: u64,
    /// Parts to run after start and rest; all when left out.
    #[arg(long, value_delimiter = ',')]
    pub parts: Vec<Part>,
    /// Seed of the run's random choices; the nodes' own are not fixed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// File for the result as JSON.
    #[arg(long)]
    pub output: Option<PathBuf>,
}

/// Runs the command.
///
/// # Errors
/// When the machine is too small for the fleet, or a phase fails.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let result = run_fleet(&arguments).await?;
    println!("{}", result.to_tables());
    if let Some(path) = &arguments.output {
        let text = serde_json::to_string_pretty(&result)?;
        let remedy = || format!("can't write {}; choose another --output", path.display());
        std::fs::write(path, text).wrap_err_with(remedy)?;
    }
    Ok(())
}

/// Runs a fleet through all phases.
///
/// # Errors
/// As [`run`].
pub async fn run_fleet(arguments: &Arguments) -> eyre::Result<RunResult> {
    let count = arguments.nodes;
    ensure!(
        count >= FEWEST_NODES,
        "use at least {FEWEST_NODES} nodes, two a zone"
    );
    let memory_before = resident_bytes()?;
    let growth = || -> eyre::Result<f64> {
        let grown = resident_bytes()?.saturating_sub(memory_before);
        Ok(grown as f64 / count as f64)
    };
    let mut fleet = Fleet::new(arguments.databases, arguments.seed);
    fleet.surroundings.store.set_faults(phases::limited());
    let mut run = Run {
        fleet: &mut fleet,
        phases: Vec::new(),
    };
    run.start(count).await?;
    let bytes_per_node_without_configuration = growth()?;
    let is_wanted = |part| arguments.parts.is_empty() || arguments.parts.contains(&part);
    if is_wanted(Part::Configuration) {
        run.configure().await?;
    }
    run.rest(Duration::from_secs(arguments.rest)).await?;
    let moved = phases::placement(run.fleet)?;
    if is_wanted(Part::Configuration) {
        run.configuration().await?;
    }
    if is_wanted(Part::Churn) {
        run.churn().await?;
    }
    if is_wanted(Part::Zone) {
        run.zone().await?;
    }
    if is_wanted(Part::Regions) {
        run.regions().await?;
    }
    Ok(RunResult {
        nodes: count,
        databases: arguments.databases,
        cores: std::thread::available_parallelism()?.get(),
        bytes_per_node_without_configuration,
        bytes_per_node: growth()?,
        moved,
        phases: run.phases,
    })
}

struct Run<'a> {
    fleet: &'a mut Fleet,
    phases: Vec<Phase>,
}

impl Run<'_> {
    async fn phase(
        &mut self,
        name: &str,
        victims: &[usize],
        phase: impl AsyncFnOnce(&mut Fleet) -> eyre::Result<Vec<Timing>>,
    ) -> eyre::Result<()> {
        let measured = measure(self.fleet, name, victims, phase).await?;
        eprintln!("phase: {name} took {:.1} s", measured.seconds);
        self.phases.push(measured);
        Ok(())
    }

    async fn start(&mut self, count: usize) -> eyre::Result<()> {
        let start = async |fleet: &mut Fleet| phases::start_all(fleet, count, START_PATIENCE).await;
        self.phase("start", &[], start).await
    }

    async fn configure(&mut self) -> eyre::Result<()> {
        let configure = async |fleet: &mut Fleet| {
            fleet.configure(START_PATIENCE).await?;
            Ok(Vec::new())
        };
        self.phase("configure", &[], configure).await
    }

    async fn rest(&mut self, duration: Duration) -> eyre::Result<()> {
        if !duration.is_zero() {
            let settle = async |_: &mut Fleet| phases::quiet(SETTLING_TIME).await;
            self.phase("settle", &[], settle).await?;
        }
        let quiet = async |_: &mut Fleet| phases::quiet(duration).await;
        self.phase("rest", &[], quiet).await
    }

    async fn configuration(&mut self) -> eyre::Result<()> {
        let change = async |fleet: &mut Fleet| phases::change(fleet, CHANGES).await;
        self.phase("changes", &[], change).await?;
        let restarted = self.last(1)[0];
        let outage = async |fleet: &mut Fleet| phases::outage(fleet, restarted).await;
        self.phase("outage", &[restarted], outage).await
    }

    async fn churn(&mut self) -> eyre::Result<()> {
        let victims = self.last(DEATHS);
        let deaths = async |fleet: &mut Fleet| phases::deaths(fleet, &victims).await;
        self.phase("deaths", &victims, deaths).await?;
        for victim in &victims {
            self.fleet.start(*victim).await?;
        }
        self.fleet.wait_until(START_PATIENCE, Fleet::agrees).await;
        let victims = self.last(REPLACEMENTS);
        let replacements = async |fleet: &mut Fleet| phases::replacements(fleet, &victims).await;
        self.phase("replacements", &victims, replacements).await
    }

    async fn zone(&mut self) -> eyre::Result<()> {
        let zone = ZONES - 1;
        let mut victims = self.fleet.numbers();
        victims.retain(|number| number % ZONES == zone);
        let drop_zone = async |fleet: &mut Fleet| phases::drop_zone(fleet, zone).await;
        self.phase("zone lost", &victims, drop_zone).await
    }

    async fn regions(&mut self) -> eyre::Result<()> {
        let part = async |fleet: &mut Fleet| phases::part_regions(fleet, REGIONS - 1).await;
        self.phase("regions parted", &[], part).await
    }

    /// The numbers of the last `count` nodes: the first ones are the seeds.
    fn last(&self, count: usize) -> Vec<usize> {
        let mut numbers = self.fleet.numbers();
        numbers.split_off(numbers.len() - count)
    }
}
