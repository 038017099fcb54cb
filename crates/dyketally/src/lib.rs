//! Coordination logic of the dyketally database proxy.
//!
//! Every part is a state machine without I/O and without a clock: its users pass in messages and the
//! current [`time::Timestamp`], and get decisions back. The daemons and the stateful fuzzers run the same
//! code.

pub mod admission;
pub mod budget;
pub mod capacity;
pub mod configuration;
pub mod delta;
pub mod directory;
pub mod document;
pub mod drain;
pub mod eligibility;
pub mod failover;
pub mod freshness;
pub mod group;
pub mod history;
pub mod identifiers;
pub mod membership;
pub mod outcome;
pub mod placement;
pub mod policy;
pub mod pool;
pub mod quota;
pub mod retry;
pub mod route_policy;
pub mod routing;
pub mod session;
pub mod slow_start;
pub mod statement;
pub mod template;
pub mod tenant;
pub mod time;
