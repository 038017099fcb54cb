//! Connection pool of one database, without I/O.
//!
//! [`Pool`] opens no connections itself. It decides which connection a statement may use and when to open and
//! close connections; the owner of the connections carries this out and reports the results. The database's
//! own connection limit is the hard bound. When other nodes hold connections to the database, too, the pool
//! lowers its limit each time the database refuses a connection.

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
