//! This node's share of each database's connections, slots and cold rate, which depends on the other nodes.

use std::rc::Rc;

use dyketally::identifiers::DatabaseName;

use super::Databases;
use super::pool::Pool;

/// Shares of each database, computed from the known nodes and the routes in force.
pub trait ConnectionShares {
    /// Maximum number of connections that this node may have open to a database.
    fn connection_limit(&self, database: &DatabaseName) -> u32;

    /// True when this node is a home of a database, which keeps connections to it.
    fn is_home(&self, database: &DatabaseName) -> bool;

    /// Number of nodes among which a database's slots are divided.
    fn slot_sharers(&self, database: &DatabaseName) -> usize;

    /// True when this node may send to a database while it is cold. False until the other nodes are known:
    /// until then this node would count itself as the only one.
    fn may_send_cold(&self, database: &DatabaseName) -> bool;

    /// Discards the computed shares after limits changed.
    fn invalidate(&self);

    /// Discards the computed share of a database that the directory has forgotten.
    fn forget(&self, database: &DatabaseName);
}

impl Databases {
    /// Recomputes the shares after limits changed, and applies them to each pool and each pacer.
    pub fn recompute_shares(&self) {
        self.shares.invalidate();
        self.apply_shares_to_pools();
        self.share_cold_rates();
    }

    fn apply_shares_to_pools(&self) {
        for (name, database) in self.states.borrow().iter() {
            let pool = &database.pool;
            let limit = self.shares.connection_limit(name);
            pool.set_limit(limit, self.shares.is_home(name));
            self.share_slots(name, pool);
        }
    }

    /// Spawns a task that applies the shares after nodes changed, unless one is pending. Changes that the running
    /// task makes together are then applied once.
    pub fn apply_shares_soon(self: &Rc<Self>) {
        if self.shares_pending.replace(true) {
            return;
        }
        let databases = self.clone();
        tokio::task::spawn_local(async move {
            databases.shares_pending.set(false);
            databases.apply_shares_to_pools();
            if databases.any_slow_start() {
                databases.share_cold_rates();
            }
        });
    }

    pub(super) fn share_slots(&self, name: &DatabaseName, pool: &Pool) {
        let directory = self.directory.borrow();
        if let Some(member) = directory.member(name) {
            pool.set_slots(member.announcement.slots, self.shares.slot_sharers(name));
        }
    }
}
