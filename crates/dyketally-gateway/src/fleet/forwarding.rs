//! Connections that other nodes open to this one, and connections to a database by way of another node
//! for nodes that are cut off from it. A node that forwards a connection only moves bytes: the node that
//! opened it speaks to the database itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dyketally::failover::Evidence;
use dyketally::identifiers::DatabaseName;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::context::accept;
use crate::database::connection::{Forwarding, prepare_socket};
use crate::database::pool::OPEN_LIMIT;
use crate::database::target::Target;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::home;

/// Pause before a connection is accepted after a failure; not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest opening, in bytes.
const LONGEST_REQUEST: usize = 512;
/// How long other nodes may take to reply whether they reach a database: a probe of theirs takes up to
/// 0.3 s. Not measured.
const FORWARDER_SEARCH: Duration = Duration::from_millis(450);
/// Connections that a node forwards at one time. Not measured.
const FORWARDED_AT_MOST: usize = 64;

/// What a node sends first on a connection to another, after its length in two bytes.
#[derive(Debug, Serialize, Deserialize)]
pub enum Opening {
    /// Forward what follows to a database.
    Forward {
        /// The database.
        database: DatabaseName,
    },
    /// Calls to a home follow.
    Calls,
    /// The sender subscribes to the receiver's copy of the store.
    Feed,
}

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
        open(node, &Opening::Forward { database }).await
    }
}

/// Connects to the node at `address` for the purpose of `opening`.
///
/// # Errors
/// The node can't be reached.
pub async fn open(address: SocketAddr, opening: &Opening) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    prepare_socket(&stream);
    let body = postcard::to_stdvec(opening).map_err(std::io::Error::other)?;
    let mut message = (body.len() as u16).to_be_bytes().to_vec();
    message.extend(body);
    stream.write_all(&message).await?;
    Ok(stream)
}

/// Serves the connection of a node that subscribes to this node's copy of the store.
pub type ServeFeed = Rc<dyn Fn(TcpStream) -> LocalBoxFuture<'static, ()>>;

/// Serves connections of other nodes until the process ends.
pub async fn serve(access: Rc<DatabaseAccess>, serve_feed: ServeFeed, listener: TcpListener) {
    let forwarded = Rc::new(());
    loop {
        let stream = accept(&listener, ACCEPT_PAUSE).await;
        let access = access.clone();
        let serve_feed = serve_feed.clone();
        let forwarded = forwarded.clone();
        tokio::task::spawn_local(async move {
            // The asking node sees a connection that ends, whatever the reason.
            let _ = serve_one(access, serve_feed, stream, forwarded).await;
        });
    }
}

/// Serves one connection; `forwarded` is shared by all that are forwarded.
async fn serve_one(
    access: Rc<DatabaseAccess>,
    serve_feed: ServeFeed,
    mut stream: TcpStream,
    forwarded: Rc<()>,
) -> std::io::Result<()> {
    prepare_socket(&stream);
    match tokio::time::timeout(OPEN_LIMIT, read_opening(&mut stream)).await?? {
        Opening::Forward { .. } if Rc::strong_count(&forwarded) > FORWARDED_AT_MOST => Ok(()),
        Opening::Forward { database } => forward(&access, stream, &database).await,
        Opening::Calls => {
            drop(forwarded);
            home::serve(access, stream).await;
            Ok(())
        }
        Opening::Feed => {
            drop(forwarded);
            serve_feed(stream).await;
            Ok(())
        }
    }
}

async fn forward(
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

async fn read_opening(stream: &mut TcpStream) -> std::io::Result<Opening> {
    let length = usize::from(stream.read_u16().await?);
    if length > LONGEST_REQUEST {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
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
