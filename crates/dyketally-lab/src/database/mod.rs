//! A stand-in for one database of a group.
//!
//! It speaks the PostgreSQL wire protocol and keeps its tables in memory. Tables come into being
//! when they are first written; each has the columns `key text primary key, value text`. It knows
//! these statements:
//!
//! - `INSERT INTO t (key, value) VALUES ($1, $2) [ON CONFLICT DO NOTHING]`
//! - `SELECT value FROM t WHERE key = $1`, `SELECT key, value FROM t`, `SELECT count(*) FROM t`
//! - `UPDATE t SET value = $2 WHERE key = $1`, `UPDATE t SET value = value + $2 WHERE key = $1`
//! - `DELETE FROM t WHERE key = $1`
//! - `BEGIN`, `COMMIT`, `ROLLBACK`, `SELECT pg_sleep(x)`
//! - `SELECT role, term, log_term, log_offset FROM dyketally_status`
//!
//! Transactions read what is committed; a row that another transaction changed since the
//! transaction first wrote it fails the commit with 40001. Members of a group elect a primary
//! and copy its log, see [`replication`]. The log is kept whole, in memory.

mod connection;
mod control;
mod control_client;
mod driver;
mod error;
mod execution;
mod peers;
pub mod replication;
mod running;
mod server;
mod session;
mod settings;
mod slots;
mod sql;
mod statement;
mod store;
mod sync;
mod transaction;
mod wire;

pub use control::{
    ControlSettings, CutRequest, DatabaseState, LogRecord, StayLeadingRequest, TableRow,
};
pub use control_client::ControlClient;
pub use running::{RunningDatabase, start, start_group, start_group_of_three};
pub use settings::{Arguments, DatabaseSettings, PeerSettings};
pub use store::{LogEntry, RowChange, RowKey, RowWrite};

/// Runs one database until it is told to stop by a signal.
///
/// # Errors
/// When the settings can't be read or an address can't be bound.
pub async fn run(arguments: Arguments) -> eyre::Result<()> {
    let database = start(arguments.into_settings()?).await?;
    let settings = &database.settings;
    println!(
        "database {} ready: clients {}, peers {}, control {}",
        settings.name, settings.listen, settings.peer_listen, settings.control_listen
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
