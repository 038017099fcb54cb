//! Flags of the daemon. Each overrides the settings field of the same name.

use std::path::PathBuf;

use toml::{Table, Value};

/// Flags over the settings file. Values are checked together with the file's fields.
#[derive(Clone, Debug, Default, PartialEq, clap::Args)]
pub struct Flags {
    /// Settings file (TOML); see examples/dyketallyd.toml
    #[arg(global = true, long, value_name = "FILE", env = "DYKETALLYD_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// Name of the node [node.name]
    #[arg(global = true, long, value_name = "NAME")]
    pub node: Option<String>,
    /// Region the node runs in [node.region]
    #[arg(global = true, long, value_name = "NAME")]
    pub region: Option<String>,
    /// Zone the node runs in [node.zone]
    #[arg(global = true, long, value_name = "NAME")]
    pub zone: Option<String>,
    /// Where to listen for callers [listen.callers]
    #[arg(global = true, long, value_name = "IP:PORT")]
    pub listen_callers: Option<String>,
    /// Where to listen for other nodes' requests [listen.peers]
    #[arg(global = true, long, value_name = "IP:PORT")]
    pub listen_peers: Option<String>,
    /// Where to listen for membership [listen.membership]
    #[arg(global = true, long, value_name = "IP:PORT")]
    pub listen_membership: Option<String>,
    /// Where to listen for operators [listen.admin]
    #[arg(global = true, long, value_name = "IP:PORT")]
    pub listen_admin: Option<String>,
    /// Where callers reach the node [advertise.callers]
    #[arg(global = true, long, value_name = "IP:PORT")]
    pub advertise_callers: Option<String>,
    /// Where other nodes reach this one [advertise.peers]
    #[arg(global = true, long, value_name = "IP:PORT")]
    pub advertise_peers: Option<String>,
    /// Where other nodes reach this one for membership [advertise.membership]
    #[arg(global = true, long, value_name = "IP:PORT")]
    pub advertise_membership: Option<String>,
    /// Membership address of a node to join; may be repeated [membership.seeds]
    #[arg(global = true, long = "seed", value_name = "IP:PORT")]
    pub seeds: Vec<String>,
    /// URL of the key-value service [platform.key_value]
    #[arg(global = true, long, value_name = "URL")]
    pub key_value: Option<String>,
    /// URL of the machine list [platform.machines]
    #[arg(global = true, long, value_name = "URL")]
    pub machines: Option<String>,
    /// Translated address; may be repeated; added to the file's [network.routes]
    #[arg(global = true, long = "route", value_name = "TO=VIA")]
    pub routes: Vec<String>,
    /// Time a planned stop may take [limits.drain_deadline]
    #[arg(global = true, long, value_name = "DURATION")]
    pub drain_deadline: Option<String>,
    /// Layout of log lines: human or json [logging.layout]
    #[arg(global = true, long, value_name = "LAYOUT")]
    pub log_layout: Option<String>,
    /// Least severe level to log [logging.level]
    #[arg(global = true, long, value_name = "LEVEL")]
    pub log_level: Option<String>,
    /// File to append the log to [logging.file]
    #[arg(global = true, long, value_name = "FILE")]
    pub log_file: Option<String>,
    /// Configuration file for a single node [configuration_file]
    #[arg(global = true, long, value_name = "FILE")]
    pub configuration_file: Option<String>,
}

impl Flags {
    /// Puts the flags that were given over the fields of `table`.
    pub(super) fn overlay(&self, table: &mut Table) {
        let fields = [
            ("node", "name", &self.node),
            ("node", "region", &self.region),
            ("node", "zone", &self.zone),
            ("listen", "callers", &self.listen_callers),
            ("listen", "peers", &self.listen_peers),
            ("listen", "membership", &self.listen_membership),
            ("listen", "admin", &self.listen_admin),
            ("advertise", "callers", &self.advertise_callers),
            ("advertise", "peers", &self.advertise_peers),
            ("advertise", "membership", &self.advertise_membership),
            ("platform", "key_value", &self.key_value),
            ("platform", "machines", &self.machines),
            ("limits", "drain_deadline", &self.drain_deadline),
            ("logging", "layout", &self.log_layout),
            ("logging", "level", &self.log_level),
            ("logging", "file", &self.log_file),
        ];
        for (section, key, flag) in fields {
            if let Some(value) = flag {
                set(table, section, key, Value::from(value.as_str()));
            }
        }
        if let Some(file) = &self.configuration_file {
            let value = Value::from(file.as_str());
            table.insert("configuration_file".to_owned(), value);
        }
        if !self.seeds.is_empty() {
            set(
                table,
                "membership",
                "seeds",
                Value::from(self.seeds.clone()),
            );
        }
        self.add_routes(table);
    }

    fn add_routes(&self, table: &mut Table) {
        if self.routes.is_empty() {
            return;
        }
        let network = section_mut(table, "network");
        let routes = network.and_then(|network| {
            let routes = network
                .entry("routes")
                .or_insert_with(|| Value::Array(Vec::new()));
            routes.as_array_mut()
        });
        // A `routes` that is no list is reported where it is read.
        if let Some(routes) = routes {
            routes.extend(self.routes.iter().map(|route| route_value(route)));
        }
    }
}

fn route_value(text: &str) -> Value {
    let (to, via) = text.split_once('=').unwrap_or((text, ""));
    let mut route = Table::new();
    route.insert("to".to_owned(), Value::from(to));
    route.insert("via".to_owned(), Value::from(via));
    Value::Table(route)
}

fn set(table: &mut Table, section: &str, key: &str, value: Value) {
    // A section that is no table is reported where it is read.
    if let Some(section) = section_mut(table, section) {
        section.insert(key.to_owned(), value);
    }
}

fn section_mut<'a>(table: &'a mut Table, section: &str) -> Option<&'a mut Table> {
    let entry = table.entry(section);
    let section = entry.or_insert_with(|| Value::Table(Table::new()));
    section.as_table_mut()
}
