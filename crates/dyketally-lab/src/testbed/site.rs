//! A site of the lab: its zones, databases, proxies and tenants.

use dyketally::policy::Confirmation;
use serde::{Deserialize, Serialize};

/// Everything that the lab needs to set up a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// The region of its zones.
    pub region: String,
    /// Its zones; each holds one proxy and one database of each group.
    pub zones: Vec<String>,
    /// Further zones, each with one proxy and no database.
    #[serde(default)]
    pub edge_zones: Vec<String>,
    /// One-way delay between zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// One-way delay between callers and proxies, in milliseconds.
    pub caller_delay_ms: f64,
    /// Whether processes talk through relays, which add the delays and cut links.
    pub relays: bool,
    /// Where the proxies get the operators' documents from.
    pub configuration: Configuration,
    /// Names of the database groups.
    pub groups: Vec<String>,
    /// Properties of each database.
    pub database: DatabaseProperties,
    /// The tenants.
    pub tenants: Vec<Tenant>,
}

/// Where the proxies get the operators' documents from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Configuration {
    /// From a file beside their settings.
    #[default]
    File,
    /// From the platform, where the operators' command publishes them.
    Platform,
}

/// Properties of each database of a site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabaseProperties {
    /// Connections granted to the proxies.
    pub connection_limit: u32,
    /// Connections granted besides, for callers of a baseline without proxies.
    #[serde(default)]
    pub spare_connections: u32,
    /// Statements that run at one time.
    pub slots: u32,
    /// Time that a new connection costs, in milliseconds.
    pub connect_cost_ms: u64,
    /// Time that a statement holds its slot, in microseconds.
    pub service_time_us: u64,
    /// Replication lag, in milliseconds.
    pub replication_lag_ms: u64,
    /// Shortest time without a primary before an election, in milliseconds.
    pub election_timeout_ms: u64,
    /// Time between two heartbeats of a primary, in milliseconds.
    pub heartbeat_ms: u64,
}

/// One tenant of a site; all use the same template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// The group that its database `main` is in.
    pub group: String,
    /// Share of slot time relative to other tenants.
    pub weight: u32,
    /// Statements that may wait at one home.
    pub queue_limit: u32,
    /// How writes are confirmed before they are acknowledged.
    pub confirmation: Confirmation,
}

/// The name by which all tenants of the lab call their database.
pub const DATABASE: &str = "main";

impl Site {
    /// Parts ordering and stock: small databases, zones 1.5 ms apart.
    pub fn huber() -> Self {
        Self {
            name: String::from("huber"),
            region: String::from("alps"),
            zones: names(&["rosenheim", "nuremberg", "salzburg"]),
            edge_zones: Vec::new(),
            zone_delay_ms: 1.5,
            caller_delay_ms: 3.0,
            relays: true,
            configuration: Configuration::default(),
            groups: names(&["ledger-1", "ledger-2", "ledger-3"]),
            database: DatabaseProperties {
                connection_limit: 40,
                slots: 5,
                ..DatabaseProperties::default()
            },
            tenants: vec![
                Tenant::new("shops", "ledger-1"),
                Tenant::new("warehouse", "ledger-1"),
            ],
        }
    }

    /// Lobbies and standings: larger databases, zones 0.5 ms apart.
    pub fn lakeshore() -> Self {
        Self {
            name: String::from("lakeshore"),
            region: String::from("lakes"),
            zones: names(&["erie", "huron", "superior"]),
            edge_zones: Vec::new(),
            zone_delay_ms: 0.5,
            caller_delay_ms: 3.0,
            relays: true,
            configuration: Configuration::default(),
            groups: names(&["lobby-1", "lobby-2", "lobby-3"]),
            database: DatabaseProperties {
                connection_limit: 100,
                slots: 10,
                ..DatabaseProperties::default()
            },
            tenants: vec![
                Tenant::new("lobbies", "lobby-1"),
                Tenant::new("standings", "lobby-1"),
            ],
        }
    }
}

impl Default for DatabaseProperties {
    fn default() -> Self {
        Self {
            connection_limit: 40,
            spare_connections: 0,
            slots: 5,
            connect_cost_ms: 12,
            service_time_us: 1_000,
            replication_lag_ms: 0,
            election_timeout_ms: 300,
            heartbeat_ms: 50,
        }
    }
}

impl Tenant {
    /// A tenant of weight 1.
    pub fn new(name: &str, group: &str) -> Self {
        Self {
            name: name.to_owned(),
            group: group.to_owned(),
            weight: 1,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            confirmation: Confirmation::default(),
        }
    }
}

impl Site {
    /// All zones, in the order of their proxies.
    pub fn proxy_zones(&self) -> impl Iterator<Item = &String> {
        self.zones.iter().chain(&self.edge_zones)
    }
}

const DEFAULT_QUEUE_LIMIT: u32 = 200;

fn names(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
