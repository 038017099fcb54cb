//! Quotas over the whole fleet: an operation of a tenant needs a token, and one node, the tenant's
//! accountant, hands tokens out from a token bucket.
//!
//! A node that asks for each operation at the moment at which it is asked for it keeps the fleet
//! within `rate * window + burst`, however callers are spread over nodes. A node whose questions stay
//! unanswered falls back to an equal share of the rate ([`Allowance::take_alone`]). An accountant that
//! takes over begins with a part of the burst, since it doesn't know what its predecessor handed out.

mod accountant;
mod allowance;
mod bucket;

pub use accountant::{Accountant, Decision};
pub use allowance::Allowance;
