//! The platform's list of machines, which lags behind the truth.

use std::net::SocketAddr;

use async_trait::async_trait;
use dyketally::identifiers::{DatabaseName, Locality, NodeName};
use serde::{Deserialize, Serialize};

/// What runs on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineIdentity {
    /// A proxy node.
    Proxy(NodeName),
    /// One database of a group.
    Database(DatabaseName),
}

/// What the platform intends with a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// It stays.
    Live,
    /// It will be taken away and should get no new work.
    Leaving,
}

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// What runs on it.
    pub identity: MachineIdentity,
    /// Where it is reached. The first address of a proxy is the one its peers use.
    pub addresses: Vec<SocketAddr>,
    /// Where it runs.
    pub locality: Locality,
    /// What the platform intends with it.
    pub state: MachineState,
}

/// The list as the platform tells it. Machines that are gone are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    /// All machines.
    pub machines: Vec<Machine>,
}

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MachineListError {
    /// The platform doesn't answer.
    #[error(
        "the machine list can't be reached ({reason}); go on with the last list, check the \
         address of the list and try again"
    )]
    Unavailable {
        /// What the transport or the platform reported.
        reason: String,
    },
    /// The answer isn't a list of machines.
    #[error(
        "the machine list could not be read ({reason}); go on with the last list and check that \
         the address is that of the platform's machine list"
    )]
    Malformed {
        /// What could not be read.
        reason: String,
    },
}

/// The platform's list of machines.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// Reads the list.
    async fn machines(&self) -> Result<Machines, MachineListError>;
}
