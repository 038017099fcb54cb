//! What an experiment is run with.

use std::fmt;
use std::path::PathBuf;

use clap::ValueEnum;
use eyre::WrapErr;

use crate::bench::{Configuration, Operator, Site, Topology};

/// Arguments of this command.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Which experiment.
    pub name: Experiment,
    /// TOML file with the site; the users' first site when left out.
    #[arg(long)]
    pub settings: Option<PathBuf>,
    /// One of the users' sites, when no file is given.
    #[arg(long, default_value = "huber")]
    pub site: UserSite,
    /// Seed of the callers' choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Rounds; the experiment's own number when left out.
    #[arg(long)]
    pub rounds: Option<usize>,
    /// Where the result, the plot, settings and logs go.
    #[arg(long, default_value = "target/experiments")]
    pub out: PathBuf,
    /// The commit that is measured, for the result.
    #[arg(long)]
    pub commit: Option<String>,
}

/// The experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Experiment {
    /// What it costs to confirm a write before it is acknowledged.
    Confirmation,
    /// The time in which no write lands after a primary fails.
    Failover,
    /// The share of reads that replicas serve.
    ReplicaReads,
}

/// The users' sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum UserSite {
    /// Orders and stock: zones 1.5 ms apart, small databases.
    Huber,
    /// Lobbies and standings: zones 0.5 ms apart, larger databases.
    Lakeshore,
}

impl fmt::Display for Experiment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Experiment::Confirmation => "confirmation",
            Experiment::Failover => "failover",
            Experiment::ReplicaReads => "replica-reads",
        })
    }
}

/// What an experiment is run with.
#[derive(Clone, Debug)]
pub struct ExperimentSettings {
    /// Name of the result: the experiment and its site.
    pub name: String,
    /// The site.
    pub site: Site,
    /// Seed of the callers' choices.
    pub seed: u64,
    /// Rounds, if not the experiment's own number.
    pub rounds: Option<usize>,
    /// Where settings and logs of the processes go.
    pub logs: PathBuf,
}

impl ExperimentSettings {
    /// Reads the site and names the result.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn read(arguments: &Arguments) -> eyre::Result<Self> {
        let mut site = match &arguments.settings {
            Some(path) => {
                let text = std::fs::read_to_string(path)
                    .wrap_err_with(|| format!("{} can't be read", path.display()))?;
                toml::from_str(&text)
                    .wrap_err_with(|| format!("{} is not a site", path.display()))?
            }
            None => users_site(arguments.site),
        };
        site.configuration = Configuration::Platform;
        site.groups.truncate(1);
        let name = format!("{}-{}", arguments.name, site.name);
        Ok(Self {
            logs: arguments.out.join(format!("{name}-logs")),
            name,
            site,
            seed: arguments.seed,
            rounds: arguments.rounds,
        })
    }

    /// Starts the site, publishes its documents and waits for all proxies.
    ///
    /// # Errors
    /// When a process does not become ready.
    pub async fn start(&self) -> eyre::Result<Topology> {
        // Logs of an earlier run would be mistaken for this one's.
        let _ = std::fs::remove_dir_all(&self.logs);
        let mut topology = Topology::start(self.site.clone(), &self.logs).await?;
        topology.start_proxies().await?;
        let operator = Operator::new(&topology, "lab")?;
        operator.publish_site(&topology).await?;
        for proxy in 0..topology.plan.proxies.len() {
            topology.proxy_ready(proxy).await?;
        }
        Ok(topology)
    }
}

fn users_site(name: UserSite) -> Site {
    match name {
        UserSite::Huber => Site::huber(),
        UserSite::Lakeshore => Site::lakeshore(),
    }
}
