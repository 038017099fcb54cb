//! Starts the databases of a site.

use std::fs;

use dyketally::identifiers::DatabaseName;

use crate::database::{DatabaseSettings, PeerSettings};

use super::plan::{DatabasePlan, Plan, Routes};
use super::process::{ChildProcess, Launcher, Program};
use super::site::Site;

/// Starts one database. One that `joins` has lost its log.
pub(super) fn start_database(
    launcher: &Launcher,
    site: &Site,
    plan: &Plan,
    routes: &Routes,
    database: &DatabasePlan,
    joins: bool,
) -> eyre::Result<ChildProcess> {
    let properties = &site.database;
    let settings = DatabaseSettings {
        name: DatabaseName::new(database.name.as_str()),
        zone: database.zone.clone(),
        listen: database.listen,
        peer_listen: database.peer,
        control_listen: database.control,
        peers: peers(plan, routes, database),
        connection_limit: properties.connection_limit + properties.spare_connections,
        slots: properties.slots,
        connect_cost_ms: properties.connect_cost_ms,
        service_time_us: properties.service_time_us,
        reply_delay_us: 0,
        replication_lag_ms: properties.replication_lag_ms,
        election_timeout_ms: properties.election_timeout_ms,
        heartbeat_ms: properties.heartbeat_ms,
        joining: joins,
        seed: None,
    };
    let path = launcher.logs().join(format!("{}.toml", database.name));
    fs::write(&path, toml::to_string(&settings)?)?;
    let arguments = ["database", "--settings", &path.to_string_lossy()].map(str::to_owned);
    Ok(launcher.start(&database.name, Program::Lab, &arguments)?)
}

fn peers(plan: &Plan, routes: &Routes, database: &DatabasePlan) -> Vec<PeerSettings> {
    let others = plan
        .group(&database.group)
        .filter(|other| other.name != database.name);
    let peer = |other: &DatabasePlan| PeerSettings {
        name: DatabaseName::new(other.name.as_str()),
        address: routes.via(&database.name, other.peer),
    };
    others.map(peer).collect()
}
