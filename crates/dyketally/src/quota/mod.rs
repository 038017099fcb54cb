//! Quotas over the whole fleet: an operation of a tenant needs a token, and one node, the tenant's
//! accountant, hands tokens out from a token bucket.
//!
//! A node that asks for each operation at the moment at which it is asked for it keeps the fleet
//! within `rate * window + burst`, however callers are spread over nodes. A node that doesn't reach the
//! accountant asks stand-ins; one whose questions all stay unanswered falls back to its part of the rate ([`Allowance::take_alone`]). An
//! accountant whose tenant uses much of its rate, and a stand-in in any case, hands out the share of
//! the rate that the nodes make up which it reaches: the others may be served by somebody else. A node
//! that takes over begins with a part of the burst, since it doesn't know what its predecessor handed out.

mod accountant;
mod allowance;
mod bucket;

pub use accountant::{Accountant, Decision, Role};
pub use allowance::Allowance;
