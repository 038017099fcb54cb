//! Capacity of a node's network link, in coarse classes.

use serde::{Deserialize, Serialize};

/// Ratio of capacity between two adjacent classes. Nodes of one class rank equally, so that load is
/// spread over them.
const STEP: f64 = 4.0;

/// A class of link capacity; greater classes carry more. A node that states no capacity has the least
/// class.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LinkClass(u8);

/// Links with less than this many megabits per second are small: 64 nodes that each get a copy of 1 MB at once take a
/// second of such a link.
const SMALL_MEGABITS: f64 = 512.0;

impl LinkClass {
    /// True for links that shouldn't carry messages for many other nodes if greater ones are available.
    pub fn is_small(self) -> bool {
        self < Self::of_megabits(SMALL_MEGABITS)
    }

    /// The class of a link with a capacity of `megabits` per second.
    pub fn of_megabits(megabits: f64) -> Self {
        let class = megabits.max(1.0).log(STEP).floor();
        // Saturates only at 4^256 megabits per second.
        Self(class as u8)
    }
}
