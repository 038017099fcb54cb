//! Finds out whether a home runs that stays silent.

use std::net::SocketAddr;
use std::rc::Rc;

use dyketally::identifiers::DatabaseName;

use crate::gateway::Gateway;

impl Gateway {
    /// Finds out whether a home runs that stays silent on a call for `database`. One that doesn't reply
    /// to datagrams either is passed over. Homes run near their databases, so that both are often lost
    /// together: a primary is reported at once, and the poll that follows finds out.
    pub fn look_for_home(self: &Rc<Self>, home: SocketAddr, database: &DatabaseName) {
        let Some(peers) = self.fleet.peers.borrow().clone() else {
            return;
        };
        if !self.fleet.homes.looked_for.borrow_mut().insert(home) {
            return;
        }
        let gateway = self.clone();
        let database = database.clone();
        tokio::task::spawn_local(async move {
            let found = peers.is_reached(home).await;
            gateway.fleet.homes.looked_for.borrow_mut().remove(&home);
            if found {
                return;
            }
            gateway.fleet.homes.passed_over.add(home);
            gateway.fleet.links.close(home);
            let target = gateway.databases.known_target(&database);
            if let Some(target) = target.filter(|target| gateway.databases.is_primary(target)) {
                gateway.report_suspicion(&target);
            }
        });
    }
}
