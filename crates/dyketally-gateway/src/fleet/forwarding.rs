//! Connections to a database by way of another node, for nodes that are cut off from it. A node that
//! forwards a connection only moves bytes: the node that opened it speaks to the database itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dyketally::failover::Evidence;
use dyketally::identifiers::DatabaseName;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::database::connection::{Forwarding, prepare_socket};
use crate::database::pool::OPEN_LIMIT;
use crate::database::target::Target;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::opening::{self, Opening};

/// How long other nodes may take to reply whether they reach a database: a probe of theirs takes up to
/// 0.3 s. Not measured.
const FORWARDER_SEARCH: Duration = Duration::from_millis(450);

/// Has other nodes forward connections.
pub struct ThroughNodes;

#[async_trait(?Send)]
impl Forwarding for ThroughNodes {
    async fn connect(
        &self,
        node: SocketAddr,
        database: &DatabaseName,
    ) -> std::io::Result<TcpStream> {
        let database = database.clone();
        opening::open(node, &Opening::Forward { database }).await
    }
}

/// Moves bytes between a connection of another node and a database, until either closes.
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
    let mut onward = tokio::time::timeout(OPEN_LIMIT, TcpStream::connect(address)).await??;
    prepare_socket(&onward);
    tokio::io::copy_bidirectional(&mut stream, &mut onward).await?;
    Ok(())
}

impl DatabaseAccess {
    /// Asks the other nodes who reaches `target`, and has the first that does forward connections to it.
    pub fn find_forwarder(self: &Rc<Self>, target: &Target) {
        let Some(peers) = self.fleet.peers.borrow().clone() else {
            return;
        };
        let access = self.clone();
        let target = target.clone();
        tokio::task::spawn_local(async move {
            let mut poll = peers.poll(&target.group, &target.name);
            let until = Instant::now() + FORWARDER_SEARCH;
            while let Ok(Some(vote)) =
                tokio::time::timeout_at(until, poll.votes.receiver.recv()).await
            {
                let may_forward = access.may_forward(vote.from, &target);
                if vote.evidence == Evidence::Answered && may_forward {
                    target.state.pool.forward_by(vote.from);
                    access.fleet.cx.changes.notify();
                    return;
                }
            }
        });
    }

    /// True when a connection to `target` may go by way of the node at `address`: where regions are
    /// bound, only through the database's own region, which all that may run there may enter.
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
