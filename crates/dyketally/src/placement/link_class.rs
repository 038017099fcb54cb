//! How much the link of a node carries, coarsely.

use serde::{Deserialize, Serialize};

/// The factor between two classes: nodes whose links differ by less are chosen alike, so that work is
/// spread over them.
const STEP: f64 = 4.0;

/// A class of links; greater ones carry more. The least is that of a node that states none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LinkClass(u8);

impl LinkClass {
    /// The class of a link that carries `megabits` a second.
    pub fn of_megabits(megabits: f64) -> Self {
        let class = megabits.max(1.0).log(STEP).floor();
        // A link can't be so large that its class exceeds the type.
        Self(class as u8)
    }
}
