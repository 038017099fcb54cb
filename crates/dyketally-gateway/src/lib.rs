//! The gateway: serves callers' statements from database groups that announce themselves in a
//! key-value store, over protocols that are passed in as ports.
//!
//! Every node runs the same process. A node terminates callers' sessions, keeps connections of its
//! own to the databases, and takes part in electing the one node that replaces lost primaries. All
//! tasks of a process run on one thread, so state is shared without locks.

mod batch;
mod checkout;
mod connection;
mod counters;
mod event;
mod feed;
mod follow;
mod gateway;
mod health;
mod home;
mod homes;
mod link;
mod member;
pub mod membership;
pub mod metered_store;
mod node;
mod passed_over;
mod peer;
mod pool;
pub mod ports;
mod read;
mod readiness;
mod relay;
mod request;
mod session;
pub mod settings;
mod succession;
mod target;
mod transaction;
mod write;

pub use node::{Adapters, run};
