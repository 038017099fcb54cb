//! The store's keys: watched there or received by way of other nodes, and those that this node keeps.
//!
//! - [`watch`] reads and watches prefixes of the store.
//! - [`feed`] sends the keys on between nodes, so that only a few nodes of a large fleet watch the store.
//! - [`registration`] keeps this node's own key, and [`liveness`] removes those of nodes that are lost.
//! - [`keys`] names the keys of nodes; [`metered_store`] counts the calls to the store.
//!
//! Owns this node's copies of the keys. Relies on the nodes and links of `fleet` and on the state of
//! `context`; handlers of updates and what else concerns the layers above are passed in.

pub mod feed;
pub mod keys;
pub mod liveness;
pub mod metered_store;
pub mod parts;
pub mod registration;
pub mod unconfirmed;
pub mod watch;
