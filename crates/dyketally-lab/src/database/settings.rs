//! Settings of one stand-in database, from a TOML file and flags.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use dyketally::identifiers::DatabaseName;
use eyre::WrapErr;
use serde::{Deserialize, Serialize};

/// Another member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The member's name.
    pub name: DatabaseName,
    /// Where it accepts messages of its peers.
    pub address: SocketAddr,
}

/// Settings of one database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DatabaseSettings {
    /// The database's name, unique in its group.
    pub name: DatabaseName,
    /// The zone in which it runs; for display only.
    pub zone: String,
    /// Where it accepts clients; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where it accepts messages of its peers; port 0 takes a free one.
    pub peer_listen: SocketAddr,
    /// Where it accepts control requests; port 0 takes a free one.
    pub control_listen: SocketAddr,
    /// The other members of the group.
    pub peers: Vec<PeerSettings>,
    /// Connections granted; one more is refused with 53300.
    pub connection_limit: u32,
    /// Statements that run at one time; others wait in order of arrival.
    pub slots: u32,
    /// Time that a new connection costs, in milliseconds.
    pub connect_cost_ms: u64,
    /// Time that a statement holds its slot, in microseconds.
    pub service_time_us: u64,
    /// Time between a write's effect and its reply, in microseconds. A database that is killed in
    /// this time has made the write without a word.
    pub reply_delay_us: u64,
    /// Time by which this member applies what its primary sends late, in milliseconds.
    pub replication_lag_ms: u64,
    /// Shortest time without a primary before an election, in milliseconds. The actual time is
    /// drawn between once and twice this one.
    pub election_timeout_ms: u64,
    /// Time between two heartbeats of a primary, in milliseconds.
    pub heartbeat_ms: u64,
    /// The member lost its log: it neither votes nor serves until it has caught up.
    pub joining: bool,
    /// Seed of the election timeouts; drawn at random when left out.
    pub seed: Option<u64>,
}

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Default for DatabaseSettings {
    fn default() -> Self {
        Self {
            name: DatabaseName::new("database"),
            zone: String::from("local"),
            listen: LOOPBACK,
            peer_listen: LOOPBACK,
            control_listen: LOOPBACK,
            peers: Vec::new(),
            connection_limit: 40,
            slots: 5,
            connect_cost_ms: 12,
            service_time_us: 0,
            reply_delay_us: 0,
            replication_lag_ms: 0,
            election_timeout_ms: 300,
            heartbeat_ms: 50,
            joining: false,
            seed: None,
        }
    }
}

impl DatabaseSettings {
    /// Settings of a member that listens on free loopback ports.
    pub fn named(name: &str) -> Self {
        Self {
            name: DatabaseName::new(name),
            ..Self::default()
        }
    }

    /// Time that a new connection costs.
    pub fn connect_cost(&self) -> Duration {
        Duration::from_millis(self.connect_cost_ms)
    }
}

/// Arguments of `dyketally-lab database`. A flag passes over the settings file.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Arguments {
    /// Settings file (TOML); see `DatabaseSettings` for its keys.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// The database's name.
    #[arg(long)]
    name: Option<String>,
    /// The zone in which it runs.
    #[arg(long)]
    zone: Option<String>,
    /// Where it accepts clients.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Where it accepts messages of its peers.
    #[arg(long)]
    peer_listen: Option<SocketAddr>,
    /// Where it accepts control requests.
    #[arg(long)]
    control_listen: Option<SocketAddr>,
    /// Another member as `name=address`; repeat for each.
    #[arg(long = "peer", value_parser = parse_peer)]
    peers: Vec<PeerSettings>,
    /// Connections granted.
    #[arg(long)]
    connection_limit: Option<u32>,
    /// Statements that run at one time.
    #[arg(long)]
    slots: Option<u32>,
    /// Time that a new connection costs, in milliseconds.
    #[arg(long)]
    connect_cost_ms: Option<u64>,
    /// Time that a statement holds its slot, in microseconds.
    #[arg(long)]
    service_time_us: Option<u64>,
    /// Time between a write's effect and its reply, in microseconds.
    #[arg(long)]
    reply_delay_us: Option<u64>,
    /// Replication lag of this member, in milliseconds.
    #[arg(long)]
    replication_lag_ms: Option<u64>,
    /// Shortest time without a primary before an election, in milliseconds.
    #[arg(long)]
    election_timeout_ms: Option<u64>,
    /// The member lost its log: it neither votes nor serves until it has caught up.
    #[arg(long)]
    joining: bool,
    /// Seed of the election timeouts.
    #[arg(long)]
    seed: Option<u64>,
}

fn parse_peer(text: &str) -> Result<PeerSettings, String> {
    let (name, address) = text
        .split_once('=')
        .ok_or("write a peer as name=address, such as b=127.0.0.1:7102")?;
    let address = address
        .parse()
        .map_err(|error| format!("address of peer {name}: {error}; write it as ip:port"))?;
    Ok(PeerSettings {
        name: DatabaseName::new(name),
        address,
    })
}

fn set<T>(target: &mut T, flag: Option<T>) {
    if let Some(value) = flag {
        *target = value;
    }
}

impl Arguments {
    /// The settings file with the flags on top.
    ///
    /// # Errors
    /// When the settings file can't be read.
    pub fn into_settings(self) -> eyre::Result<DatabaseSettings> {
        let mut settings = match &self.settings {
            Some(path) => read_settings(path)?,
            None => DatabaseSettings::default(),
        };
        set(&mut settings.name, self.name.map(DatabaseName::new));
        set(&mut settings.zone, self.zone);
        set(&mut settings.listen, self.listen);
        set(&mut settings.peer_listen, self.peer_listen);
        set(&mut settings.control_listen, self.control_listen);
        set(&mut settings.connection_limit, self.connection_limit);
        set(&mut settings.slots, self.slots);
        set(&mut settings.connect_cost_ms, self.connect_cost_ms);
        set(&mut settings.service_time_us, self.service_time_us);
        set(&mut settings.reply_delay_us, self.reply_delay_us);
        set(&mut settings.replication_lag_ms, self.replication_lag_ms);
        set(&mut settings.election_timeout_ms, self.election_timeout_ms);
        if !self.peers.is_empty() {
            settings.peers = self.peers;
        }
        settings.joining |= self.joining;
        settings.seed = self.seed.or(settings.seed);
        Ok(settings)
    }
}

fn read_settings(path: &PathBuf) -> eyre::Result<DatabaseSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read the settings file {}", path.display()))?;
    toml::from_str(&text).wrap_err_with(|| format!("correct the settings file {}", path.display()))
}
