//! What it costs to confirm a write, against the word of the primary alone, and what a read costs
//! in a session whose caller carries no token.

mod conditions;
mod figures;
mod load;
mod way;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::bench::{Row, STOCK_VALUE, Site, Topology};

use super::progress::{Progress, now_seconds};
use super::result::ExperimentResult;
use super::settings::ExperimentSettings;
use conditions::{CONDITIONS, Conditions};
use load::{Load, Measured};
use way::{Target, Way};

/// Rounds, unless another number is asked for; each measures all ways under all conditions.
const ROUNDS: usize = 3;

/// Shortest time without a primary before an election, in milliseconds: longer than on the users'
/// sites, so that a busy machine causes no elections while the cost of a write is measured.
const ELECTION_TIMEOUT_MS: u64 = 1_500;

/// What one way cost under one set of conditions, in each round.
#[derive(Debug)]
struct Cell {
    conditions: Conditions,
    way: Way,
    rounds: Vec<Measured>,
}

impl Cell {
    fn is_of(&self, conditions: Conditions, way: Way) -> bool {
        self.conditions == conditions && self.way == way
    }
}

/// Runs the experiment.
///
/// # Errors
/// When the site can't be started or a round could not be run to its end.
pub(super) async fn run(settings: &ExperimentSettings) -> eyre::Result<ExperimentResult> {
    let settings = ExperimentSettings {
        site: site(&settings.site),
        ..settings.clone()
    };
    let topology = settings.start().await?;
    let rows = [Row {
        key: load::STOCK_KEY,
        value: STOCK_VALUE,
    }];
    topology
        .insert(&topology.site.groups[0], "stock", &rows)
        .await?;
    let rounds = settings.rounds.unwrap_or(ROUNDS);
    let seeds: Vec<u64> = (0..rounds as u64).map(|it| settings.seed + it).collect();
    let mut cells = cells();
    let progress = Progress::new(&settings.name, (rounds * cells.len()) as u64);
    for seed in &seeds {
        run_round(&topology, *seed, &mut cells, &progress).await?;
    }
    drop(progress);
    Ok(ExperimentResult {
        name: settings.name.clone(),
        summary: figures::summary(&cells),
        ended: now_seconds(),
        commit: None,
        seeds,
        site: topology.site.clone(),
        figures: cells.iter().flat_map(figures::of_cell).collect(),
        plot: figures::plot(&cells),
    })
}

/// The users' site with one tenant for each kind of confirmation, and callers beside the proxies.
fn site(users: &Site) -> Site {
    let mut site = users.clone();
    site.caller_delay_ms = 0.0;
    site.database.election_timeout_ms = ELECTION_TIMEOUT_MS;
    site.tenants = way::tenants(&site.groups[0]);
    site
}

fn cells() -> Vec<Cell> {
    let cell = |conditions| {
        Way::ALL.map(|way| Cell {
            conditions,
            way,
            rounds: Vec::new(),
        })
    };
    CONDITIONS.into_iter().flat_map(cell).collect()
}

/// Measures all ways under all conditions, the ways in an order that the seed decides.
async fn run_round(
    topology: &Topology,
    seed: u64,
    cells: &mut [Cell],
    progress: &Progress,
) -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    for conditions in CONDITIONS {
        conditions.set(topology).await?;
        let mut ways = Way::ALL;
        ways.shuffle(&mut random);
        for way in ways {
            let target = Target::find(topology, way).await?;
            let name = format!("{seed}-{conditions}-{way:?}");
            let measured = Load::new(&name, way, target).run().await?;
            progress.step(&name);
            let mut cells = cells.iter_mut();
            if let Some(cell) = cells.find(|it| it.is_of(conditions, way)) {
                cell.rounds.push(measured);
            }
        }
    }
    Ok(())
}
