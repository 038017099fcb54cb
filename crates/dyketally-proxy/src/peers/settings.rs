//! What the peers task needs to start.

use std::collections::HashMap;
use std::net::SocketAddr;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::{Config, InvalidConfig};
use dyketally::placement::NORMAL_WEIGHT;

/// What the peers task needs to start.
#[derive(Clone, Debug)]
pub struct PeersSettings {
    /// This node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Start of this process in milliseconds of the wall clock: greater than that of any earlier
    /// process of the node.
    pub started: u64,
    /// Share of databases relative to other nodes of the zone.
    pub weight: u16,
    /// The UDP address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// The UDP address that others are told, if not the one listened on.
    pub advertise: Option<SocketAddr>,
    /// The TCP address at which others reach this node's homes.
    pub peers: SocketAddr,
    /// The HTTP address of this node for operators.
    pub admin: SocketAddr,
    /// UDP addresses of nodes to join through.
    pub seeds: Vec<SocketAddr>,
    /// Address translation: where to send instead of to the key.
    pub routes: HashMap<SocketAddr, SocketAddr>,
    /// Settings of membership.
    pub membership: Config,
}

impl PeersSettings {
    /// Settings of a node that listens at any free port of the loopback address, with no seeds
    /// and the default settings of membership.
    pub fn on_loopback(node: NodeName, locality: Locality, started: u64) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            node,
            locality,
            started,
            weight: NORMAL_WEIGHT,
            listen: any,
            advertise: None,
            peers: any,
            admin: any,
            seeds: Vec::new(),
            routes: HashMap::new(),
            membership: Config::default(),
        }
    }
}

/// Why the peers task can't start.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// The address can't be bound.
    #[error(
        "can't listen on {address} ({source}); choose a free address of this machine in `listen.membership`"
    )]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings of membership can't work.
    #[error("the settings of membership can't work: {0}")]
    Config(#[from] InvalidConfig),
}
