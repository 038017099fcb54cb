//! The home of a database: owns its connections, its queue and the view of its group.
//!
//! A home takes requests of any number of edges, in this process or behind links. Each request
//! runs as a task of its own: it is admitted, takes a connection, sends its batch, passes the
//! reply on and ends in exactly one completion.

pub mod admission;
pub mod backend;
pub mod command;
mod conclude;
pub mod connection;
pub mod counters;
pub mod dispatch;
mod dispatch_state;
pub mod encode;
pub mod grant;
mod handle;
pub mod ledger;
pub mod monitor;
pub mod output;
pub mod plan;
pub mod prober;
mod recorded;
mod resolve;
mod route;
mod run;
mod serve;
pub mod sessions;
mod shared;
pub mod statements;
pub mod status_hint;
pub mod status_reply;

pub use backend::BackendLogin;
pub use handle::{Home, HomeHandle};
pub use shared::{AddressRoutes, HomeOptions, HomeStatus};
