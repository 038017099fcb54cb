//! Accounting of the connections to one database.
//!
//! [`Pool`] opens no connection itself. It says which connection a statement may use, and when to
//! open and close connections, and is told what became of them. A database's own connection limit
//! is the hard bound: when another node holds connections to it too, refusals teach the pool a
//! lower limit.

mod connection;
mod connections;
mod holdings;
mod learned_limit;
mod settings;
mod status;

pub use connection::{ConnectionId, PoolAction, Refusal, ReleaseCondition};
pub use connections::Pool;
pub use settings::PoolSettings;
pub use status::{PoolCounters, PoolStatus};
