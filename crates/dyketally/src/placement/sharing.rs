//! How the connections that a database grants are shared out: among all nodes while each gets
//! enough of them to be of use, among a few homes otherwise.

/// Share of a database's connections that homes use; the rest is for probes, for nodes that reach
/// no home, and for connections that are closing.
const USED: f64 = 0.9;
/// Connections below which a node is better off asking a home.
const FEWEST_EACH: u32 = 4;
/// Connections that a home has at least: enough that transactions that rest don't use them up.
const FEWEST_AT_HOME: u32 = 12;
/// Connections that a node which isn't a home may open when it reaches none.
const SPARE: u32 = 2;

/// Who keeps connections to a database, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Every node, this many each.
    Everyone(u32),
    /// A few homes.
    Homes {
        /// How many homes there are.
        count: usize,
        /// Connections of each of them.
        each: u32,
    },
}

impl Sharing {
    /// Shares out `granted` connections of one database among `nodes` nodes.
    pub fn of(granted: u32, nodes: usize) -> Self {
        let used = (f64::from(granted) * USED) as u32;
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
        if used / nodes >= FEWEST_EACH || nodes <= 2 {
            return Self::Everyone((used / nodes).max(1));
        }
        let count = (used / FEWEST_AT_HOME).clamp(1, nodes);
        Self::Homes {
            count: count as usize,
            each: (used / count).max(1),
        }
    }

    /// Nodes that keep connections, of `nodes`.
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
            Self::Homes { .. } => SPARE,
        }
    }
}
