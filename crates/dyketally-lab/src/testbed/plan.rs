//! The plan of a site: which process runs where, and how each reaches the others.

use std::io;
use std::net::SocketAddr;

use crate::network::{Delay, Endpoint, NetworkSettings, RouteEntry};

use super::ports::free_addresses;
use super::site::Site;

/// The name of the callers' side among the endpoints of the network, and of its zone.
pub const CALLERS: &str = "callers";

/// The name of the platform's process.
pub const PLATFORM: &str = "platform";

/// One database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabasePlan {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its zone.
    pub zone: String,
    /// Where it accepts callers.
    pub listen: SocketAddr,
    /// Where it accepts messages of its peers.
    pub peer: SocketAddr,
    /// Where it accepts control requests.
    pub control: SocketAddr,
}

/// One proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyPlan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it accepts callers.
    pub listen: SocketAddr,
    /// Where it accepts other proxies.
    pub peer: SocketAddr,
    /// Where it answers its operators.
    pub admin: SocketAddr,
}

/// The processes of a site with their addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Where the platform's services answer.
    pub platform_gateway: SocketAddr,
    /// Where the platform's faults are injected.
    pub platform_control: SocketAddr,
    /// Where the network's faults are injected.
    pub network_control: SocketAddr,
    /// The databases, by group and then by zone.
    pub databases: Vec<DatabasePlan>,
    /// The proxies, by zone.
    pub proxies: Vec<ProxyPlan>,
}

impl Plan {
    /// Plans one proxy and one database of each group in each zone.
    ///
    /// # Errors
    /// When no free addresses can be had.
    pub fn new(site: &Site) -> io::Result<Self> {
        let databases = site.zones.len() * site.groups.len();
        let proxies = site.proxy_zones().count();
        let count = FIXED_ADDRESSES + ADDRESSES_EACH * (databases + proxies);
        let mut addresses = free_addresses(count)?.into_iter();
        let mut next = || addresses.next().ok_or(io::ErrorKind::AddrNotAvailable);
        let mut plan = Self {
            platform_gateway: next()?,
            platform_control: next()?,
            network_control: next()?,
            databases: Vec::new(),
            proxies: Vec::new(),
        };
        for group in &site.groups {
            for (zone, letter) in site.zones.iter().zip('a'..) {
                plan.databases.push(DatabasePlan {
                    name: format!("{group}-{letter}"),
                    group: group.clone(),
                    zone: zone.clone(),
                    listen: next()?,
                    peer: next()?,
                    control: next()?,
                });
            }
        }
        for (zone, number) in site.proxy_zones().zip(1..) {
            plan.proxies.push(ProxyPlan {
                name: format!("proxy-{number}"),
                zone: zone.clone(),
                listen: next()?,
                peer: next()?,
                admin: next()?,
            });
        }
        Ok(plan)
    }

    /// The databases of a group.
    pub fn group(&self, group: &str) -> impl Iterator<Item = &DatabasePlan> {
        let is_member = move |database: &&DatabasePlan| database.group == group;
        self.databases.iter().filter(is_member)
    }

    /// Settings of the network between the processes.
    pub fn network(&self, site: &Site) -> NetworkSettings {
        let mut endpoints = vec![
            endpoint(CALLERS, CALLERS, Vec::new()),
            endpoint(PLATFORM, &site.zones[0], vec![self.platform_gateway]),
        ];
        for database in &self.databases {
            let addresses = vec![database.listen, database.peer];
            endpoints.push(endpoint(&database.name, &database.zone, addresses));
        }
        for proxy in &self.proxies {
            let addresses = vec![proxy.listen, proxy.peer];
            endpoints.push(endpoint(&proxy.name, &proxy.zone, addresses));
        }
        NetworkSettings {
            control: self.network_control,
            endpoints,
            delays: delays(site),
        }
    }
}

/// Addresses that don't belong to a database or a proxy.
const FIXED_ADDRESSES: usize = 3;

/// Addresses of each database and of each proxy.
const ADDRESSES_EACH: usize = 3;

fn endpoint(name: &str, zone: &str, addresses: Vec<SocketAddr>) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        zone: zone.to_owned(),
        addresses,
    }
}

fn delays(site: &Site) -> Vec<Delay> {
    let mut delays = Vec::new();
    let zones: Vec<&String> = site.proxy_zones().collect();
    for (index, &zone) in zones.iter().enumerate() {
        delays.push(Delay {
            between: [CALLERS.to_owned(), zone.clone()],
            one_way_ms: site.caller_delay_ms,
        });
        for &other in &zones[index + 1..] {
            delays.push(Delay {
                between: [zone.clone(), other.clone()],
                one_way_ms: site.zone_delay_ms,
            });
        }
    }
    delays
}

/// How processes reach each other; without relays, at the address itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes(pub Vec<RouteEntry>);

impl Routes {
    /// Where the process `source` reaches `to`.
    pub fn via(&self, source: &str, to: SocketAddr) -> SocketAddr {
        let is_route = |route: &&RouteEntry| route.source == source && route.to == to;
        let route = self.0.iter().find(is_route);
        route.map_or(to, |route| route.via)
    }
}
