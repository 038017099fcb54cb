//! Offers point reads through proxies and straight to a database, side by side in one run, and
//! reports what the proxies add.

mod idle;
mod latency;
mod progress;
mod rate;
mod result;
mod table;
mod target;

use std::path::PathBuf;
use std::time::Duration;

use crate::testbed::{DatabaseProperties, Site, Tenant, Topology};

pub use result::{Figure, Goal, Line, LoadResult, Plot, Point, quantile};

use progress::{Progress, now_seconds};
use table::figure_table;

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Where settings, logs and the result go.
    #[arg(long, default_value = "target/load")]
    pub out: PathBuf,
    /// Reads of each target for the latency, one at a time.
    #[arg(long, default_value_t = 10_000)]
    pub reads: usize,
    /// Clients that offer load to each target for the rate.
    #[arg(long, default_value_t = 16)]
    pub clients: usize,
    /// Seconds of load on each target for the rate.
    #[arg(long, default_value_t = 4)]
    pub seconds: u64,
    /// Idle client connections of one proxy for the memory.
    #[arg(long, default_value_t = 3_500)]
    pub idle: usize,
    /// The commit that is measured, for the result.
    #[arg(long)]
    pub commit: Option<String>,
}

/// The group of the one tenant.
const GROUP: &str = "ledger-1";

/// The tenant whose reads are measured.
const TENANT: &str = "shops";

/// Runs the command.
///
/// # Errors
/// When the site can't be started or a read fails.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let mut topology = Topology::start(site(), &arguments.out).await?;
    topology.start_proxies().await?;
    for proxy in 0..topology.plan.proxies.len() {
        topology.proxy_ready(proxy).await?;
    }
    target::prepare_rows(&topology).await?;
    let targets = target::targets(&topology).await?;
    let progress = Progress::new("load", 3);
    let (mut figures, plot) = latency::measure(&targets, arguments.reads).await?;
    progress.step("latency measured");
    let seconds = Duration::from_secs(arguments.seconds);
    figures.extend(rate::measure(&topology, &targets, arguments.clients, seconds).await?);
    progress.step("rate measured");
    figures.extend(idle::measure(&topology, arguments.idle).await?);
    progress.step("memory measured");
    finish(arguments, &topology, figures, plot)
}

fn finish(
    arguments: Arguments,
    topology: &Topology,
    figures: Vec<Figure>,
    plot: Plot,
) -> eyre::Result<()> {
    let result = LoadResult {
        name: String::from("load"),
        summary: String::from(
            "Point reads of a prepared statement through proxies and straight to a database, on \
             loopback without delays.",
        ),
        ended: now_seconds(),
        commit: arguments.commit,
        seeds: Vec::new(),
        site: topology.site.clone(),
        figures,
        plot,
    };
    let path = result.write(&arguments.out)?;
    println!("{}", figure_table(&result.figures));
    println!("load: result in {}", path.display());
    Ok(())
}

/// One group on loopback without delays; a fourth proxy has no database in its zone.
fn site() -> Site {
    let mut site = Site::huber();
    site.name = String::from("load");
    site.relays = false;
    site.edge_zones = vec![String::from("edge")];
    site.groups.truncate(1);
    site.tenants = vec![Tenant::new(TENANT, GROUP)];
    site.database = DatabaseProperties {
        connection_limit: 100,
        slots: 64,
        service_time_us: 0,
        ..DatabaseProperties::default()
    };
    site
}
