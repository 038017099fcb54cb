//! Settings of the daemon: a TOML file with flags over it.
//!
//! [`Flags`] name the file and override its fields. [`load`] reads both and tells every fault at
//! once; [`check`] does the same for `dyketallyd check` and looks into the configuration file too.

mod check;
mod configuration_file;
mod flags;
mod read;
mod values;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dyketally::identifiers::{Locality, NodeName};

pub use check::{CheckReport, check, check_flags};
pub use configuration_file::{load_configuration, read_documents};
pub use flags::Flags;
pub use read::{load, read};
pub use values::{HttpUrl, LogLayout, LogLevel};

/// Everything that a node is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who and where the node is.
    pub node: NodeSettings,
    /// Where the node listens.
    pub listen: ListenAddresses,
    /// Where others reach the node, if not where it listens.
    pub advertise: AdvertisedAddresses,
    /// How the node finds other nodes.
    pub membership: MembershipSettings,
    /// The platform's services; a node starts without them too.
    pub platform: PlatformSettings,
    /// Address translation.
    pub network: NetworkSettings,
    /// Bounds on what the node takes on.
    pub limits: Limits,
    /// Logs.
    pub logging: LoggingSettings,
    /// A configuration that is read from a file instead of the platform: for a single node.
    pub configuration_file: Option<PathBuf>,
}

/// Who and where the node is.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The node's name, unique among nodes that run at one time.
    pub name: NodeName,
    /// Where it runs.
    pub locality: Locality,
}

/// Where the node listens. Port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Callers: PostgreSQL over TCP.
    pub callers: SocketAddr,
    /// Other nodes: the link between edges and homes, over TCP.
    pub peers: SocketAddr,
    /// Other nodes: membership, over UDP.
    pub membership: SocketAddr,
    /// Operators: health, metrics and status over HTTP.
    pub admin: SocketAddr,
}

/// Where others reach the node. Those left out are the addresses it listens on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedAddresses {
    /// Instead of the listen address for callers.
    pub callers: Option<SocketAddr>,
    /// Instead of the listen address for peers.
    pub peers: Option<SocketAddr>,
    /// Instead of the listen address for membership.
    pub membership: Option<SocketAddr>,
}

/// How the node finds other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Membership addresses of nodes to join; the machine list adds more.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Base URL of the key-value service.
    pub key_value: Option<HttpUrl>,
    /// URL of the machine list.
    pub machines: Option<HttpUrl>,
}

/// Address translation towards peers and databases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NetworkSettings {
    /// At most one route to an address.
    pub routes: Vec<Route>,
}

impl NetworkSettings {
    /// The address to connect to in order to reach `to`.
    pub fn via(&self, to: SocketAddr) -> SocketAddr {
        let route = self.routes.iter().find(|route| route.to == to);
        route.map_or(to, |route| route.via)
    }
}

/// One translated address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The address as it stands in the configuration or in membership.
    pub to: SocketAddr,
    /// The address to connect to instead.
    pub via: SocketAddr,
}

/// Bounds on what the node takes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest message that a caller may send, in bytes.
    pub longest_message_bytes: usize,
    /// Callers that may be connected at one time.
    pub callers: usize,
    /// Time from a planned stop until what is still in flight is cut off.
    pub drain_deadline: Duration,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggingSettings {
    /// How a line is laid out.
    pub layout: LogLayout,
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The file to append to; standard output when left out.
    pub file: Option<PathBuf>,
}
