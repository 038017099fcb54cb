//! Connections to a database through another node, for nodes that can't reach the database directly. The
//! forwarding node only copies bytes: the node that opened the connection speaks the database's protocol.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dyketally::failover::Evidence;
use dyketally::identifiers::DatabaseName;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::database::connection::{Forwarding, prepare_socket};
use crate::database::pool::OPEN_TIMEOUT;
use crate::database::target::Target;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::opening::{self, Opening};

/// How long this node waits for replies of nodes that reach a database; their probe of the database takes up
/// to 0.3 s.
const FORWARDER_SEARCH_LIMIT: Duration = Duration::from_millis(450);

/// Opens connections to databases that another node forwards.
pub struct NodeForwarding;

#[async_trait(?Send)]
impl Forwarding for NodeForwarding {
    async fn connect(
        &self,
        node: SocketAddr,
        database: &DatabaseName,
    ) -> std::io::Result<TcpStream> {
        let database = database.clone();
        opening::open(node, &Opening::Forward { database }).await
    }
}

/// Copies bytes between a connection of another node and a database, until either closes.
pub(super) async fn forward(
    access: &DatabaseAccess,
    mut stream: TcpStream,
    database: &DatabaseName,
) -> std::io::Result<()> {
    let address = {
        let directory = access.databases.directory.borrow();
        let member = directory.member(database);
        member.map(|member| member.announcement.address)
    };
    let address = address.ok_or(std::io::ErrorKind::NotFound)?;
    let mut onward = tokio::time::timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await??;
    prepare_socket(&onward);
    tokio::io::copy_bidirectional(&mut stream, &mut onward).await?;
    Ok(())
}

impl DatabaseAccess {
    /// Polls other nodes, in the background, on whether they reach `target`. The first that does and may
    /// forward is used for this node's further connections to `target`.
    pub fn find_forwarder(self: &Rc<Self>, target: &Target) {
        let Some(peers) = self.fleet.peers.borrow().clone() else {
            return;
        };
        let access = self.clone();
        let target = target.clone();
        tokio::task::spawn_local(async move {
            let mut poll = peers.poll(&target.group, &target.name);
            let until = Instant::now() + FORWARDER_SEARCH_LIMIT;
            while let Ok(Some(vote)) =
                tokio::time::timeout_at(until, poll.votes.receiver.recv()).await
            {
                let may_forward = access.may_forward(vote.from, &target);
                if vote.evidence == Evidence::Answered && may_forward {
                    target.state.pool.forward_through(vote.from);
                    access.fleet.cx.changes.notify();
                    return;
                }
            }
        });
    }

    /// True when the node at `address` may forward connections to `target`. If the configuration binds
    /// routes or tenants to regions, the node must be in the database's own region: statements that may run
    /// there may also pass through there.
    fn may_forward(&self, address: SocketAddr, target: &Target) -> bool {
        if !self.fleet.cx.routes().binds_regions() {
            return true;
        }
        let nodes = self.fleet.membership.nodes();
        let mut nodes = nodes.values();
        let region = self.databases.region_of_zone(&target.zone);
        nodes.any(|node| node.address == address && node.locality.region == region)
    }
}
