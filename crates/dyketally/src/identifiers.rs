//! Names and numbers that identify the things dyketally coordinates.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `name`; whether it is well formed is checked where settings and templates are read.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type!(
    /// A tenant: a group of callers with its own share of the connections.
    TenantName
);
name_type!(
    /// A template: the settings that tenants of one kind have in common.
    TemplateName
);
name_type!(
    /// A database group: a primary and its replicas, which elect the primary from among themselves.
    GroupName
);
name_type!(
    /// One database, a member of a group. Unique over all groups.
    DatabaseName
);
name_type!(
    /// A proxy node, unique among the nodes that run at the same time.
    NodeName
);
name_type!(
    /// A zone: machines that fail together.
    ZoneName
);
name_type!(
    /// A region: zones that are near each other.
    RegionName
);

/// Where a node or a database runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Locality {
    /// The region.
    pub region: RegionName,
    /// The zone within the region.
    pub zone: ZoneName,
}

/// A caller's session at the edge that terminates it. A caller that reconnects to another edge gets a new
/// id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// The edge that terminates the caller's connection.
    pub edge: NodeName,
    /// Incarnation of the edge's process, so that a restarted edge never repeats a session id.
    pub incarnation: u64,
    /// Number of the connection within the incarnation.
    pub number: u64,
}

/// A request on one link between an edge and a home; never reused within the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);
