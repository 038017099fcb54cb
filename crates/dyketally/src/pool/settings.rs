//! Settings of a pool.

use std::time::Duration;

use crate::retry::Backoff;

/// Connections that may be in the course of opening at one time.
const CONCURRENT_CONNECTS: u32 = 8;

/// Usual idle timeout. Short, so that a node that is no longer the home of a database soon gives
/// its connections up to the one that is; the minimum stays warm.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How many connections a pool keeps, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Connections that the database grants as a whole.
    pub connection_limit: u32,
    /// Connections that stay open without work.
    pub minimum_open: u32,
    /// Connections that are lent to no tenant beyond its share, so that a tenant within its share
    /// finds one. The number of slots is a good choice: as many statements can run at one time.
    pub reserve: u32,
    /// A connection that was idle for longer is closed.
    pub idle_timeout: Duration,
    /// Connections that may be in the course of opening at one time.
    pub concurrent_connects: u32,
    /// Delays between attempts to connect after refusals.
    pub backoff: Backoff,
}

impl PoolSettings {
    /// Usual settings for a database with this connection limit and this number of slots.
    pub fn for_database(connection_limit: u32, slots: u32) -> Self {
        PoolSettings {
            connection_limit,
            minimum_open: slots.min(connection_limit),
            reserve: slots.min(connection_limit / 2),
            idle_timeout: IDLE_TIMEOUT,
            concurrent_connects: CONCURRENT_CONNECTS,
            backoff: Backoff {
                first: Duration::from_millis(20),
                longest: Duration::from_secs(2),
            },
        }
    }
}
