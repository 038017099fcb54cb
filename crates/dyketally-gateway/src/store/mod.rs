//! The store's keys: this node watches them there or receives them through other nodes, and keeps its own.
//!
//! - [`watch`] reads and watches prefixes of the store.
//! - [`feed`] distributes the keys between nodes, so that only a few nodes of a large fleet watch the store.
//! - [`registration`] keeps this node's own key, and [`liveness`] removes the keys of nodes that are gone.
//! - [`unconfirmed`] logs when the configuration may be outdated.
//! - [`keys`] names the keys of nodes; [`metered_store`] counts the calls to the store; [`parts`] is what the tasks
//!   of this layer share.
//!
//! Owns this node's copies of the keys. Relies on the nodes and connections of `fleet` and on the state of `context`.
//! Handlers of updates and everything else that belongs to higher layers are passed in.

pub mod feed;
pub mod keys;
pub mod liveness;
pub mod metered_store;
pub mod parts;
pub mod registration;
pub mod unconfirmed;
pub mod watch;
