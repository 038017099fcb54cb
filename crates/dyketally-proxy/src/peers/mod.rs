//! Membership on a socket: the task that drives [`dyketally::membership`], and the view of the
//! live members that the rest of the daemon reads.

mod carrier;
mod counters;
mod driver;
mod handle;
mod settings;
mod view;

pub use carrier::Carrier;
pub use counters::PeersCounters;
pub use handle::{Peers, PeersHandle};
pub use settings::{PeersError, PeersSettings};
pub use view::{LiveNode, LiveNodes, View};
