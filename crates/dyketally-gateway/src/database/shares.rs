//! This node's share of the connections to each database, which depends on the other nodes.

use std::rc::Rc;

use dyketally::identifiers::DatabaseName;

use super::Databases;
use super::pool::Pool;

/// Shares of connections, worked out from the nodes that are known and the routes in force.
pub trait ConnectionShares {
    /// Connections that this node may have open to a database.
    fn connection_limit(&self, database: &DatabaseName) -> u32;

    /// True when this node keeps connections to a database.
    fn is_home(&self, database: &DatabaseName) -> bool;

    /// Nodes that share a database's slots.
    fn sharers(&self, database: &DatabaseName) -> usize;

    /// True when this node sends to a database while that is cold. False until the nodes are known: this
    /// one would take itself for the only one.
    fn may_send_cold(&self, database: &DatabaseName) -> bool;

    /// Discards what was worked out: nodes or limits changed.
    fn forget(&self);
}

impl Databases {
    /// Gives each pool its share of its database's connections, and each pacer its part of a cold
    /// database's rate: nodes or limits changed.
    pub fn apply_shares(&self) {
        self.shares.forget();
        for (name, database) in self.states.borrow().iter() {
            let pool = &database.pool;
            let limit = self.shares.connection_limit(name);
            pool.set_limit(limit, self.shares.is_home(name));
            self.share_slots(name, pool);
        }
        self.share_cold_rates();
    }

    /// Applies the shares anew once the running task is done with its changes, so that changes which come
    /// together cost one round.
    pub fn apply_shares_soon(self: &Rc<Self>) {
        if self.sharing_soon.replace(true) {
            return;
        }
        let databases = self.clone();
        tokio::task::spawn_local(async move {
            databases.sharing_soon.set(false);
            databases.apply_shares();
        });
    }

    pub(super) fn share_slots(&self, name: &DatabaseName, pool: &Pool) {
        let directory = self.directory.borrow();
        if let Some(member) = directory.member(name) {
            pool.share_out(member.announcement.slots, self.shares.sharers(name));
        }
    }
}
