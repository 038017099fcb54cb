//! Finds out whether a home runs that stays silent.

use std::net::SocketAddr;
use std::rc::Rc;

use dyketally::identifiers::DatabaseName;

use crate::fleet::access::DatabaseAccess;

impl DatabaseAccess {
    /// Finds out whether a home runs that stays silent on a call for `database`. One that doesn't reply
    /// to datagrams either is passed over. Homes run near their databases, so that both are often lost
    /// together: a primary is reported at once, and the poll that follows finds out.
    pub(super) fn look_for_home(self: &Rc<Self>, home: SocketAddr, database: &DatabaseName) {
        let Some(peers) = self.fleet.peers.borrow().clone() else {
            return;
        };
        if !self.fleet.homes.looked_for.borrow_mut().insert(home) {
            return;
        }
        let access = self.clone();
        let database = database.clone();
        tokio::task::spawn_local(async move {
            let found = peers.is_reached(home).await;
            access.fleet.homes.looked_for.borrow_mut().remove(&home);
            if found {
                return;
            }
            access.fleet.homes.passed_over.add(home);
            access.fleet.links.close(home);
            if let Some(target) = access.databases.known_target(&database) {
                access.databases.report_lost(&target);
            }
        });
    }
}
