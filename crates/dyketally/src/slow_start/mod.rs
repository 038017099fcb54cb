//! Slow start: a database that has just started is cold. Until it has warmed up, all nodes together may send
//! it only a limited number of requests per second.
//!
//! Only a few nodes, the *holders*, send to a cold database; all other nodes forward their statements to a
//! holder. Each holder has a fixed part of the rate ([`Budget`]) and sends no faster than that ([`Pacer`]),
//! so nodes need not exchange messages about it. The holders are derived from the list of nodes. When nodes
//! join or leave, the nodes' lists differ for a while. A node therefore uses its part only once its own list
//! has named it a holder for long enough ([`Tenure`]), and only while it receives changes of the list: a
//! former holder that it replaces has stopped by then. [`ColdState`] says whether a database may be cold; a
//! database whose state is unknown counts as cold.

mod budget;
mod pacer;
mod tenure;
mod throttle;
mod warmth;

pub use budget::{Budget, Margin};
pub use pacer::Pacer;
pub use tenure::{TAKE_OVER_AFTER, Tenure};
pub use throttle::{Pace, Throttle};
pub use warmth::{ColdState, READ_RAMP_TIME};
