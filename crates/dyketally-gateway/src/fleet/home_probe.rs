//! Probes a home that doesn't reply to a call, to find out whether the node is running.

use std::net::SocketAddr;
use std::rc::Rc;

use dyketally::identifiers::DatabaseName;

use crate::fleet::access::DatabaseAccess;

impl DatabaseAccess {
    /// Probes a home that hasn't replied to a call for `database`, in the background. A home that doesn't
    /// reply to datagrams either is excluded for a while and its idle links are closed. Homes run near their
    /// databases, so that both are often lost together: if `database` is a primary it is reported as lost
    /// at once, and the poll that follows checks whether it is.
    pub(super) fn probe_home(self: &Rc<Self>, home: SocketAddr, database: &DatabaseName) {
        let Some(peers) = self.fleet.peers.borrow().clone() else {
            return;
        };
        if !self.fleet.homes.being_probed.borrow_mut().insert(home) {
            return;
        }
        let access = self.clone();
        let database = database.clone();
        tokio::task::spawn_local(async move {
            let replied = peers.is_reachable(home).await;
            access.fleet.homes.being_probed.borrow_mut().remove(&home);
            if replied {
                return;
            }
            access.fleet.homes.exclusions.add(home);
            access.fleet.links.close(home);
            if let Some(target) = access.databases.known_target(&database) {
                access.databases.report_lost(&target);
            }
        });
    }
}
