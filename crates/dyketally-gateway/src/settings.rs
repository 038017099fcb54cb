//! Settings of the gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use dyketally::capacity::Capacity;
use dyketally::identifiers::{Locality, NodeName, RegionName, ZoneName};
use dyketally::placement::{LinkClass, NORMAL_WEIGHT};
use dyketally::tenant::KeyPolicy;
use serde::Deserialize;

/// What `access.key_bound_ms` may be. Below the least even a node that
/// reaches the store would refuse what it could serve: a change takes up to 1.2 s from the store by way
/// of a relay, besides the pauses between two confirmations.
const KEY_BOUNDS_MS: RangeInclusive<u64> = 2_000..=86_400_000;

/// What `node.link_mbps` may be, in megabits a second: beyond it a figure is in another unit.
const LINK_MBPS: RangeInclusive<f64> = 0.1..=1_000_000.0;
/// The least that `bounds.contact_ms` may be: below it nodes would ask the store without a pause.
const CONTACT_AT_LEAST_MS: u64 = 500;

/// All settings of a process of the gateway. Unknown fields are ignored, since
/// the file may gain some.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This node.
    pub node: NodeSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// The key-value store.
    pub store: ServiceSettings,
    /// The service that appoints primaries.
    pub primary_control: ServiceSettings,
    /// Bounds to keep.
    pub bounds: BoundSettings,
    /// How reads are shared out.
    #[serde(default)]
    pub reads: ReadSettings,
    /// Who may do what while the node can't be sure.
    #[serde(default)]
    pub access: AccessSettings,
}

/// What becomes of operations that need a key while the node is out of touch.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct AccessSettings {
    /// Whether operations are served while their key may have been taken away unnoticed.
    pub when_out_of_touch: OutOfTouch,
    /// Longest time from a key's removal to the last operation that is served with it where such
    /// operations are refused, in milliseconds.
    pub key_bound_ms: u64,
}

/// Whether operations are served while their key may have been taken away unnoticed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutOfTouch {
    /// They are served by the keys that were known last.
    #[default]
    Serve,
    /// They are refused.
    Refuse,
}

impl Default for AccessSettings {
    fn default() -> Self {
        Self {
            when_out_of_touch: OutOfTouch::Serve,
            key_bound_ms: 5_000,
        }
    }
}

impl AccessSettings {
    /// What becomes of operations whose key may have been taken away unnoticed.
    pub fn key_policy(&self) -> KeyPolicy {
        match self.when_out_of_touch {
            OutOfTouch::Serve => KeyPolicy::Serve,
            OutOfTouch::Refuse => KeyPolicy::Refuse {
                bound: Duration::from_millis(self.key_bound_ms),
            },
        }
    }
}

/// How reads are shared out.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct ReadSettings {
    /// Added to the latency expected of a primary when a read may go to a replica as well. The
    /// greater it is, the more reads replicas serve, in the end those of other regions too, whose
    /// traffic may be dear. In milliseconds.
    pub primary_penalty_ms: f64,
}

impl Default for ReadSettings {
    fn default() -> Self {
        Self {
            primary_penalty_ms: 70.0,
        }
    }
}

/// Who the node is.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeSettings {
    /// Its name, unique among the nodes.
    pub name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// The share of a processor that it may use: nodes with more keep connections to more
    /// databases.
    #[serde(default = "whole_processor")]
    pub processor_share: f64,
    /// Descriptors that it may open; not limited if it isn't given.
    pub descriptors: Option<u32>,
    /// Memory that it may use, in megabytes; not limited if it isn't given.
    pub memory_mb: Option<u32>,
    /// Megabits a second that its link carries; those with more watch the store for others first. Nodes
    /// that don't tell come last.
    pub link_mbps: Option<f64>,
    /// True when the whole system starts for the first time, so that nobody is served yet and nodes
    /// may take their time to get to know each other.
    #[serde(default)]
    pub first_start: bool,
    /// Where other nodes may hear this one, which asks them whom to follow while the store doesn't
    /// tell which nodes run. Some may be down, or others by now.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// True when the ports of `seeds` are those of something else, and all nodes hear each other at
    /// the same port.
    #[serde(default)]
    pub seeds_at_own_port: bool,
}

fn whole_processor() -> f64 {
    1.0
}

impl NodeSettings {
    /// What it can hold.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            descriptors: self.descriptors,
            memory_mb: self.memory_mb,
        }
    }

    /// How much its link carries.
    pub fn link(&self) -> LinkClass {
        self.link_mbps
            .map_or_else(LinkClass::default, LinkClass::of_megabits)
    }

    /// Its share of the databases that it keeps connections to, relative to other nodes.
    pub fn weight(&self) -> u16 {
        let weight = self.processor_share * f64::from(NORMAL_WEIGHT);
        weight.round().clamp(1.0, f64::from(u16::MAX)) as u16
    }
}

/// Where the node listens.
#[derive(Clone, Debug, Deserialize)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness probes.
    pub readiness: SocketAddr,
    /// For other nodes (UDP).
    pub peers: SocketAddr,
    /// For those who read metrics; nowhere if it isn't given.
    pub metrics: Option<SocketAddr>,
}

/// A service that is called.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceSettings {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Bounds that hold around the gateway.
#[derive(Clone, Debug, Deserialize)]
pub struct BoundSettings {
    /// How long a leaving database may get new work, in milliseconds.
    pub drain_ms: u64,
    /// How soon after an outage of the store a node has to act on changes again, in milliseconds.
    #[serde(default = "contact_bound_ms")]
    pub contact_ms: u64,
    /// How long a process may take to stop, in seconds.
    pub stop_s: f64,
    /// Pause between two announcements of a database, in milliseconds.
    pub heartbeat_ms: u64,
    /// Within how long nothing more reaches the databases of a zone whose evacuation was requested,
    /// in milliseconds.
    #[serde(default = "evacuation_bound_ms")]
    pub evacuate_ms: u64,
    /// Times its slow-start rate that a cold database may get in a second.
    #[serde(default = "no_overrun")]
    pub cold_overrun: f64,
    /// Requests that it may get in a second on top of that.
    #[serde(default)]
    pub cold_slack: u32,
    /// Operations by which a tenant may exceed its rate and burst in a window.
    #[serde(default)]
    pub quota_slack: u32,
}

/// A cold database gets its rate and no more where the settings don't tell.
fn no_overrun() -> f64 {
    1.0
}

/// Bound of an evacuation where the settings don't tell: what operators are told to expect.
fn evacuation_bound_ms() -> u64 {
    5_000
}

/// The shortest of the bounds that operators have asked for.
fn contact_bound_ms() -> u64 {
    4_000
}

impl BoundSettings {
    /// How soon after an outage of the store a node has to act on changes again.
    pub fn contact(&self) -> Duration {
        Duration::from_millis(self.contact_ms)
    }

    /// Within how long nothing more reaches the databases of an evacuated zone.
    pub fn evacuation(&self) -> Duration {
        Duration::from_millis(self.evacuate_ms)
    }

    /// How long a leaving database may get new work.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Pause between two announcements of a database.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// How long a process may take to stop.
    pub fn stop(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It can't be read.
    #[error("can't read the settings {path}: {source}; give the path of a readable file")]
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// It isn't what is expected.
    #[error("the settings {path} are faulty: {reason}; correct the named field")]
    Faulty {
        /// Its path.
        path: String,
        /// What is wrong.
        reason: String,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
/// The file can't be read, or a field is missing or wrong.
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

/// Reads and checks settings.
///
/// # Errors
/// What is wrong, in one sentence.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = toml::from_str(text).map_err(|error| error.message().to_owned())?;
    settings.validate()?;
    Ok(settings)
}

impl Settings {
    /// Where a zone is; one that isn't in `zones` has a region without a name.
    pub fn locality(&self, zone: &ZoneName) -> Locality {
        let region = self.zones.get(zone).cloned();
        Locality {
            region: region.unwrap_or_else(|| RegionName::new("")),
            zone: zone.clone(),
        }
    }

    /// Where the seeds hear other nodes, this one left out.
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

    /// Where this node is.
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
        if self.bounds.contact_ms < CONTACT_AT_LEAST_MS {
            return Err(format!(
                "`bounds.contact_ms` must be at least {CONTACT_AT_LEAST_MS}"
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
