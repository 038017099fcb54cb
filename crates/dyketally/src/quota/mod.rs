//! Tenant quotas over all nodes: each operation of a tenant needs a token, and one node, the tenant's
//! accountant, issues tokens from a token bucket.
//!
//! While nodes request the token of an operation when the operation arrives, all nodes together stay
//! within `rate * window + burst` operations, however callers are spread over them. A node that does not
//! reach the accountant requests tokens from stand-ins; if none of them answers, it falls back to its own
//! part of the rate ([`Allowance::take_alone`]).
//!
//! An accountant whose tenant uses much of its rate limits the rate to the share of the nodes that it
//! reaches, because another node may issue tokens to the rest. A stand-in always does so. A node that
//! takes over as accountant starts with a part of the burst, because it does not know what its
//! predecessor issued.

mod accountant;
mod allowance;
mod bucket;

pub use accountant::{Accountant, Decision, Role};
pub use allowance::Allowance;
