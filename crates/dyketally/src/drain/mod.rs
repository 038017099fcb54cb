//! Planned stop of a node and of a database: leaving is announced, then work in flight ends.
//!
//! Work is a request or an open transaction, under whatever name its owner knows it by. A drain
//! lets it end by itself; only at the deadline is the rest cut off, and named.

mod database;
mod node;

pub use database::{DatabaseDrain, DatabaseDrainAction, DatabaseDrainPhase};
pub use node::{Boundary, NodeDrain, NodeDrainAction, NodeDrainPhase, NodeDrainSettings};
