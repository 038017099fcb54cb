//! Starts the proxies of a site.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

use super::documents::configuration_file;
use super::plan::{PLATFORM, Plan, ProxyPlan, Routes};
use super::process::{ChildProcess, Launcher, Program};
use super::site::{Configuration, Site};

#[derive(Serialize)]
struct ProxySettings {
    #[serde(skip_serializing_if = "Option::is_none")]
    configuration_file: Option<PathBuf>,
    node: NodeSection,
    listen: ListenSection,
    membership: MembershipSection,
    platform: PlatformSection,
    limits: LimitsSection,
    network: NetworkSection,
}

#[derive(Serialize)]
struct NodeSection {
    name: String,
    region: String,
    zone: String,
}

#[derive(Serialize)]
struct ListenSection {
    callers: SocketAddr,
    peers: SocketAddr,
    membership: SocketAddr,
    admin: SocketAddr,
}

#[derive(Serialize)]
struct MembershipSection {
    seeds: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct PlatformSection {
    key_value: String,
    machines: String,
}

#[derive(Serialize)]
struct LimitsSection {
    drain_deadline: &'static str,
}

#[derive(Serialize)]
struct NetworkSection {
    routes: Vec<RouteTable>,
}

#[derive(Serialize)]
struct RouteTable {
    to: SocketAddr,
    via: SocketAddr,
}

/// Time from a planned stop until what is still in flight is cut off.
const DRAIN_DEADLINE: &str = "15s";

/// Starts one proxy.
pub(super) fn start_proxy(
    launcher: &Launcher,
    site: &Site,
    plan: &Plan,
    routes: &Routes,
    proxy: &ProxyPlan,
) -> eyre::Result<ChildProcess> {
    let settings = ProxySettings {
        configuration_file: configuration_path(launcher, site),
        node: NodeSection {
            name: proxy.name.clone(),
            region: site.region.clone(),
            zone: proxy.zone.clone(),
        },
        listen: ListenSection {
            callers: proxy.listen,
            peers: proxy.peer,
            membership: proxy.peer,
            admin: proxy.admin,
        },
        membership: MembershipSection {
            seeds: seeds(plan, proxy),
        },
        platform: platform(plan, routes, proxy),
        limits: LimitsSection {
            drain_deadline: DRAIN_DEADLINE,
        },
        network: network(routes, proxy),
    };
    let path = launcher.logs().join(format!("{}.toml", proxy.name));
    fs::write(&path, toml::to_string(&settings)?)?;
    let arguments = ["--settings", &path.to_string_lossy()].map(str::to_owned);
    Ok(launcher.start(&proxy.name, Program::Daemon, &arguments)?)
}

/// Writes the operators' documents where proxies that don't ask the platform read them.
pub(super) fn write_configuration(
    launcher: &Launcher,
    site: &Site,
    plan: &Plan,
) -> eyre::Result<()> {
    if let Some(path) = configuration_path(launcher, site) {
        fs::write(path, configuration_file(site, plan)?)?;
    }
    Ok(())
}

fn configuration_path(launcher: &Launcher, site: &Site) -> Option<PathBuf> {
    let from_file = site.configuration == Configuration::File;
    from_file.then(|| launcher.logs().join("configuration.toml"))
}

fn seeds(plan: &Plan, proxy: &ProxyPlan) -> Vec<SocketAddr> {
    let others = plan.proxies.iter().filter(|other| other.name != proxy.name);
    others.map(|other| other.peer).collect()
}

fn platform(plan: &Plan, routes: &Routes, proxy: &ProxyPlan) -> PlatformSection {
    let gateway = routes.via(&proxy.name, plan.platform_gateway);
    PlatformSection {
        key_value: format!("http://{gateway}"),
        machines: format!("http://{gateway}{}", crate::platform::MACHINES_PATH),
    }
}

fn network(routes: &Routes, proxy: &ProxyPlan) -> NetworkSection {
    let own = routes.0.iter().filter(|route| route.source == proxy.name);
    let peers = own.filter(|route| route.destination != PLATFORM);
    let table = |route: &crate::network::RouteEntry| RouteTable {
        to: route.to,
        via: route.via,
    };
    NetworkSection {
        routes: peers.map(table).collect(),
    }
}
