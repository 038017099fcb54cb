//! Distribution of the connections that a database grants: over all nodes as long as each gets enough
//! of them, over a few homes otherwise.

/// Share of a database's connections that is distributed; the rest is for probes, for nodes that reach
/// no home, and for connections that are closing.
const DISTRIBUTED_SHARE: f64 = 0.9;
/// Fewest connections for each node with which every node keeps its own; with fewer, nodes use those of
/// a few homes.
const MIN_PER_NODE: u32 = 4;
/// Fewest connections of a home: enough that idle transactions do not use them up.
const MIN_PER_HOME: u32 = 12;
/// Fewest homes of a database whose connections suffice for them: one may be lost.
const MIN_HOMES: u32 = 2;
/// Connections that a node that is not a home may open while it reaches no home.
const NON_HOME_LIMIT: u32 = 2;

/// Which nodes keep connections to a database, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Every node keeps this many connections.
    Everyone(u32),
    /// Only a few homes keep connections.
    Homes {
        /// Number of homes.
        count: usize,
        /// Connections of each home.
        each: u32,
    },
}

impl Sharing {
    /// Distributes `granted` connections of one database, which runs `slots` statements at a time, over `nodes` nodes.
    ///
    /// A database has no more homes than slots: with more, statements spread over homes that rarely get another one
    /// before their idle connection is closed, so that most have to open a new one.
    pub fn of(granted: u32, nodes: usize, slots: u32) -> Self {
        let distributed = (f64::from(granted) * DISTRIBUTED_SHARE) as u32;
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
        if distributed / nodes >= MIN_PER_NODE || nodes <= 2 {
            return Self::Everyone((distributed / nodes).max(1));
        }
        let useful = slots.max(MIN_HOMES);
        let count = (distributed / MIN_PER_HOME).min(useful).clamp(1, nodes);
        Self::Homes {
            count: count as usize,
            each: (distributed / count).max(1),
        }
    }

    /// How many of `nodes` nodes keep connections.
    pub fn homes(self, nodes: usize) -> usize {
        match self {
            Self::Everyone(_) => nodes,
            Self::Homes { count, .. } => count,
        }
    }

    /// Connections that a node may have open.
    pub fn limit(self, is_home: bool) -> u32 {
        match self {
            Self::Everyone(each) => each,
            Self::Homes { each, .. } if is_home => each,
            Self::Homes { .. } => NON_HOME_LIMIT,
        }
    }
}
