//! The stand-in database: statements, limits and the faults of a group.

mod failover;
mod limits;
mod long_rows;
mod process;
mod replication;
mod settings;
mod statements;
mod support;
mod wire;
