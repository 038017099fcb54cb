//! When a node campaigns to become the failover coordinator.
//!
//! Load pattern: all nodes learn at the same moment that there is no coordinator, as its lease has lapsed or because the
//! whole fleet starts. Each campaign costs the store a lease and a write, of which all but one are refused.

use std::time::Duration;

/// Head start before a node's campaign, for each node that ranks before it: enough for that node to obtain a lease, write
/// the key and announce itself.
const HEAD_START: Duration = Duration::from_millis(40);
/// Length of a slot of nodes that don't know their rank.
const SLOT: Duration = Duration::from_millis(100);
/// Number of slots. Half as many nodes draw a slot as draw the next one, so up to 2^16 nodes leave few in the first slot
/// that any of them draws.
const SLOTS: i32 = 16;
/// How much later a node with a small link campaigns while it doesn't know the others: the coordinator sends messages to
/// all nodes.
const SMALL_LINK_DELAY: Duration = Duration::from_millis(600);

/// What a node knows of its place in the order of campaigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CampaignRank {
    /// This many nodes rank before it.
    Known(usize),
    /// It doesn't know the other nodes.
    Unknown {
        /// Whether its link is small.
        small_link: bool,
    },
}

/// How long a node waits before its campaign; `random` is drawn anew from 0 to 1 for each.
pub fn campaign_delay(rank: CampaignRank, random: f64) -> Duration {
    match rank {
        CampaignRank::Known(rank) => {
            HEAD_START.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
        }
        CampaignRank::Unknown { small_link } => {
            let spread = f64::from(SLOTS).exp2() - 1.0;
            let slots = (1.0 + random * spread).log2();
            let later = if small_link {
                SMALL_LINK_DELAY
            } else {
                Duration::ZERO
            };
            SLOT.mul_f64(slots) + later
        }
    }
}
