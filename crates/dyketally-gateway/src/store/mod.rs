//! The store's keys: followed there or by way of other nodes, and what is asked of it.

pub mod feed;
pub mod follow;
pub mod metered_store;
pub mod unconfirmed;
