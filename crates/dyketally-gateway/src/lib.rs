//! The gateway: serves callers' statements from database groups that announce themselves in a
//! key-value store, over protocols that are passed in as ports.
//!
//! Every node runs the same process. A node terminates callers' sessions, keeps connections of its own to
//! databases, and may become the failover coordinator, the one node that replaces lost primaries. All tasks
//! of a process run on one thread, so state is shared without locks.

pub mod context;
pub mod counters;
pub mod database;
pub mod decision;
pub mod event;
pub mod fleet;
mod gateway;
mod measures;
mod node;
pub mod ports;
mod quota;
mod session;
pub mod settings;
pub mod statement;
pub mod store;
mod succession;

pub use node::{Adapters, run};
