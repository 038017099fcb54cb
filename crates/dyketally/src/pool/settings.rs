//! Settings of a connection pool.

use std::time::Duration;

use crate::retry::Backoff;

/// Default of [`PoolSettings::concurrent_connects`].
const CONCURRENT_CONNECTS: u32 = 8;

/// Default of [`PoolSettings::idle_timeout`]. It is short so that a node that is no longer the home of a database
/// soon frees its connections for the node that is. [`PoolSettings::minimum_open`] connections stay open anyway.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How many connections a pool keeps open, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Number of connections that the database accepts in total.
    pub connection_limit: u32,
    /// Number of connections that stay open even when idle.
    pub minimum_open: u32,
    /// Number of connections that no tenant gets beyond its share, so that a tenant within its share finds one.
    /// The number of slots is a good choice, since that many statements can run at a time.
    pub reserve: u32,
    /// Time after which an idle connection is closed, if more than `minimum_open` are open.
    pub idle_timeout: Duration,
    /// Greatest number of connections that may be opening at a time.
    pub concurrent_connects: u32,
    /// Delays before the next attempt to connect after refusals.
    pub backoff: Backoff,
}

impl PoolSettings {
    /// Default settings for a database with this connection limit and number of slots.
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
