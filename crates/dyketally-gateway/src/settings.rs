//! Settings of a gateway process: the fields of the settings file, their defaults, and the checks of their
//! values.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use dyketally::capacity::Capacity;
use dyketally::identifiers::{Locality, NodeName, RegionName, ZoneName};
use dyketally::placement::{LinkClass, NORMAL_WEIGHT};
use dyketally::tenant::KeyPolicy;
use serde::Deserialize;

/// Allowed values of `access.key_bound_ms`, in milliseconds. With a lower bound, even a node that reaches the
/// store would refuse operations with valid keys: a change takes up to 1.2 s from the store through a relay,
/// in addition to the pauses between two confirmations.
const KEY_BOUNDS_MS: RangeInclusive<u64> = 2_000..=86_400_000;

/// Allowed values of `node.link_mbps`, in megabits per second. A value outside is probably in another unit.
const LINK_MBPS: RangeInclusive<f64> = 0.1..=1_000_000.0;
/// Minimum of `bounds.contact_ms`, in milliseconds. With a lower value nodes would send requests to the store
/// without a pause.
const MIN_CONTACT_MS: u64 = 500;

/// All settings of a process of the gateway. Unknown fields are ignored, so that a file with fields of a later
/// version can be read.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name, place and resources of this node.
    pub node: NodeSettings,
    /// The addresses at which this node listens.
    pub listen: ListenSettings,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// The key-value store.
    pub store: ServiceSettings,
    /// The service that appoints primaries.
    pub primary_control: ServiceSettings,
    /// Time limits and tolerances that the gateway must keep to.
    pub bounds: BoundSettings,
    /// How reads are distributed among primaries and replicas.
    #[serde(default)]
    pub reads: ReadSettings,
    /// Whether callers' keys are accepted while this node can't confirm them.
    #[serde(default)]
    pub access: AccessSettings,
}

/// Handling of operations that need a key while the node is out of contact with the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct AccessSettings {
    /// Whether operations run while their key may have been removed without this node having been notified.
    pub when_out_of_touch: OutOfContact,
    /// Longest time from a key's removal to the last operation that runs with it, in milliseconds. Applies if
    /// `when_out_of_touch` is `refuse`.
    pub key_bound_ms: u64,
}

/// Whether operations run while their key may have been removed without this node having been notified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutOfContact {
    /// Operations run if their key is among the last known keys.
    #[default]
    Serve,
    /// Operations are refused.
    Refuse,
}

impl Default for AccessSettings {
    fn default() -> Self {
        Self {
            when_out_of_touch: OutOfContact::Serve,
            key_bound_ms: 5_000,
        }
    }
}

impl AccessSettings {
    /// The policy for operations whose key may have been removed without this node having been notified.
    pub fn key_policy(&self) -> KeyPolicy {
        match self.when_out_of_touch {
            OutOfContact::Serve => KeyPolicy::Serve,
            OutOfContact::Refuse => KeyPolicy::Refuse {
                bound: Duration::from_millis(self.key_bound_ms),
            },
        }
    }
}

/// How reads are distributed among primaries and replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct ReadSettings {
    /// Milliseconds added to a primary's expected latency when a read may also go to a replica. With a higher
    /// value replicas get more reads; with a very high value so do replicas in other regions, to which
    /// traffic may be expensive.
    pub primary_penalty_ms: f64,
}

impl Default for ReadSettings {
    fn default() -> Self {
        Self {
            primary_penalty_ms: 70.0,
        }
    }
}

/// Name, place and resources of a node.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeSettings {
    /// The node's name, unique among the nodes.
    pub name: NodeName,
    /// The node's zone.
    pub zone: ZoneName,
    /// The number of processors that the node may use, for example 0.5. Nodes with a higher value are homes
    /// of more databases.
    #[serde(default = "whole_processor")]
    pub processor_share: f64,
    /// Maximum number of open file descriptors; unlimited if absent.
    pub descriptors: Option<u32>,
    /// Memory that the node may use, in megabytes; unlimited if absent.
    pub memory_mb: Option<u32>,
    /// Bandwidth of the node's link, in megabits per second. Nodes with a higher value are preferred as relays,
    /// which watch the store for others; nodes without a value come last.
    pub link_mbps: Option<f64>,
    /// True when the whole system starts for the first time, so that there are no callers yet and nodes may
    /// take longer to find each other.
    #[serde(default)]
    pub first_start: bool,
    /// Addresses of nodes that this node asks for relays to follow while it can't read the list of nodes from
    /// the store. Some of them may be down or may belong to other nodes by now.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// True when the ports in `seeds` are used for something else, and each seed listens for other nodes at
    /// the port of this node's `listen.peers`.
    #[serde(default)]
    pub seeds_at_own_port: bool,
}

/// Default of `node.processor_share`.
fn whole_processor() -> f64 {
    1.0
}

impl NodeSettings {
    /// The limits of the node's descriptors and memory.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            descriptors: self.descriptors,
            memory_mb: self.memory_mb,
        }
    }

    /// The bandwidth class of the node's link.
    pub fn link(&self) -> LinkClass {
        self.link_mbps
            .map_or_else(LinkClass::default, LinkClass::of_megabits)
    }

    /// The node's share of the databases of which it is a home, relative to other nodes.
    pub fn weight(&self) -> u16 {
        let weight = self.processor_share * f64::from(NORMAL_WEIGHT);
        weight.round().clamp(1.0, f64::from(u16::MAX)) as u16
    }
}

/// The addresses at which the node listens.
#[derive(Clone, Debug, Deserialize)]
pub struct ListenSettings {
    /// Address for callers (TCP).
    pub callers: SocketAddr,
    /// Address for readiness probes (HTTP).
    pub readiness: SocketAddr,
    /// Address for other nodes: UDP for datagrams, TCP for links and subscriptions.
    pub peers: SocketAddr,
    /// Address at which metrics can be read (HTTP); metrics aren't exposed if it is absent.
    pub metrics: Option<SocketAddr>,
}

/// A service that the gateway calls.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceSettings {
    /// The address at which the service listens.
    pub address: SocketAddr,
}

/// Time limits and tolerances that the gateway must keep to.
#[derive(Clone, Debug, Deserialize)]
pub struct BoundSettings {
    /// How long a leaving database may still get new requests, in milliseconds.
    pub drain_ms: u64,
    /// Time after the end of a store outage within which a node must act on changes again, in milliseconds.
    #[serde(default = "contact_bound_ms")]
    pub contact_ms: u64,
    /// How long a process may take to stop, in seconds.
    pub stop_s: f64,
    /// Interval between two announcements of a database, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time after which no further request reaches the databases of a zone whose evacuation was requested, in
    /// milliseconds.
    #[serde(default = "evacuation_bound_ms")]
    pub evacuate_ms: u64,
    /// Requests that a cold database may get in any second, as a multiple of its slow-start rate.
    #[serde(default = "no_overrun")]
    pub cold_overrun: f64,
    /// Number of requests that a cold database may get in any second beyond `cold_overrun` times its rate.
    #[serde(default)]
    pub cold_slack: u32,
    /// Number of operations by which a tenant may exceed its rate and burst within a time window.
    #[serde(default)]
    pub quota_slack: u32,
}

/// Default of `bounds.cold_overrun`: a cold database gets at most its slow-start rate.
fn no_overrun() -> f64 {
    1.0
}

/// Default of `bounds.evacuate_ms`, in milliseconds: the time that operators are told to expect.
fn evacuation_bound_ms() -> u64 {
    5_000
}

/// Default of `bounds.contact_ms`, in milliseconds: the shortest time that operators have requested.
fn contact_bound_ms() -> u64 {
    4_000
}

impl BoundSettings {
    /// Time after the end of a store outage within which a node must act on changes again.
    pub fn contact(&self) -> Duration {
        Duration::from_millis(self.contact_ms)
    }

    /// Time after which no further request reaches the databases of a zone whose evacuation was requested.
    pub fn evacuation(&self) -> Duration {
        Duration::from_millis(self.evacuate_ms)
    }

    /// How long a leaving database may still get new requests.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Interval between two announcements of a database.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// How long a process may take to stop.
    pub fn stop(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read the settings {path}: {source}; give the path of a readable file")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file was read, but a field is missing or has an invalid value.
    #[error("the settings {path} are faulty: {reason}; correct the named field")]
    Faulty {
        /// The file's path.
        path: String,
        /// What is wrong, in one sentence.
        reason: String,
    },
}

/// Reads, parses and checks a settings file.
///
/// # Errors
/// The file can't be read, or a field is missing or has an invalid value.
pub fn load(path: &std::path::Path) -> Result<Settings, SettingsError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: shown.clone(),
        source,
    })?;
    parse(&text).map_err(|reason| SettingsError::Faulty {
        path: shown,
        reason,
    })
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// A field is missing or has an invalid value; tells what is wrong, in one sentence.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = toml::from_str(text).map_err(|error| error.message().to_owned())?;
    settings.validate()?;
    Ok(settings)
}

impl Settings {
    /// The zone with its region; the region's name is empty if the zone isn't in `zones`.
    pub fn locality(&self, zone: &ZoneName) -> Locality {
        let region = self.zones.get(zone).cloned();
        Locality {
            region: region.unwrap_or_else(|| RegionName::new("")),
            zone: zone.clone(),
        }
    }

    /// The addresses at which the seeds listen for other nodes, without this node's own.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.listen.peers;
        let seeds = self.node.seeds.iter().map(|seed| {
            let port = match self.node.seeds_at_own_port {
                true => own.port(),
                false => seed.port(),
            };
            SocketAddr::new(seed.ip(), port)
        });
        seeds.filter(|seed| *seed != own).collect()
    }

    /// This node's zone and region.
    pub fn own_locality(&self) -> Locality {
        self.locality(&self.node.zone)
    }

    fn validate(&self) -> Result<(), String> {
        if self.node.name.as_str().is_empty() {
            return Err("`node.name` is empty".to_owned());
        }
        if !self.zones.is_empty() && !self.zones.contains_key(&self.node.zone) {
            return Err(format!("`node.zone` {} isn't in `zones`", self.node.zone));
        }
        if !(0.0..=10_000.0).contains(&self.reads.primary_penalty_ms) {
            return Err("`reads.primary_penalty_ms` must be from 0 to 10000".to_owned());
        }
        if !(0.0..=1_024.0).contains(&self.node.processor_share) {
            return Err("`node.processor_share` must be from 0 to 1024".to_owned());
        }
        if self.node.descriptors == Some(0) || self.node.memory_mb == Some(0) {
            return Err("`node.descriptors` and `node.memory_mb` must be above 0".to_owned());
        }
        if self
            .node
            .link_mbps
            .is_some_and(|it| !LINK_MBPS.contains(&it))
        {
            let (least, most) = LINK_MBPS.into_inner();
            return Err(format!("`node.link_mbps` must be from {least} to {most}"));
        }
        if self.bounds.contact_ms < MIN_CONTACT_MS {
            return Err(format!(
                "`bounds.contact_ms` must be at least {MIN_CONTACT_MS}"
            ));
        }
        if !(1.0..=100.0).contains(&self.bounds.cold_overrun) {
            return Err("`bounds.cold_overrun` must be from 1 to 100".to_owned());
        }
        if self.bounds.evacuate_ms == 0 {
            return Err("`bounds.evacuate_ms` must be above 0".to_owned());
        }
        if !KEY_BOUNDS_MS.contains(&self.access.key_bound_ms) {
            let (least, most) = KEY_BOUNDS_MS.into_inner();
            return Err(format!(
                "`access.key_bound_ms` must be from {least} to {most}"
            ));
        }
        if self.bounds.stop_s <= 0.0 {
            return Err("`bounds.stop_s` must be above 0".to_owned());
        }
        Ok(())
    }
}
