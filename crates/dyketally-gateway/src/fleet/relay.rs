//! Connections between nodes: calls to homes, and connections to a database by way of another node
//! for nodes that are cut off from it. A node that relays only moves bytes; whoever asked speaks to
//! the database itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::context::accept;
use crate::database::connection::prepare_socket;
use crate::database::pool::OPEN_LIMIT;
use crate::fleet::home;
use crate::gateway::Gateway;
use crate::store::feed;

/// Pause before a connection is accepted after a failure; not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_REQUEST: usize = 512;
/// Connections that a node relays at one time.
const RELAYED_AT_MOST: usize = 64;

/// What a node sends first on a connection to another, after its length in two bytes.
#[derive(Debug, Serialize, Deserialize)]
pub enum Opening {
    /// Relay what follows to a database.
    Relay {
        /// The database.
        database: DatabaseName,
    },
    /// Calls to a home follow.
    Calls,
    /// The sender follows the receiver's copy of the store.
    Feed,
}

/// Connects to `database` by way of the node at `relay`.
///
/// # Errors
/// The node can't be reached.
pub async fn connect(relay: SocketAddr, database: &DatabaseName) -> std::io::Result<TcpStream> {
    let database = database.clone();
    open(relay, &Opening::Relay { database }).await
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

/// Serves connections of other nodes until the process ends.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let relayed = Rc::new(());
    loop {
        let stream = accept(&listener, ACCEPT_PAUSE).await;
        let gateway = gateway.clone();
        let relayed = relayed.clone();
        tokio::task::spawn_local(async move {
            // The asking node sees a connection that ends, whatever the reason.
            let _ = serve_one(gateway, stream, relayed).await;
        });
    }
}

/// Serves one connection; `relayed` is shared by all that are relayed.
async fn serve_one(
    gateway: Rc<Gateway>,
    mut stream: TcpStream,
    relayed: Rc<()>,
) -> std::io::Result<()> {
    prepare_socket(&stream);
    match tokio::time::timeout(OPEN_LIMIT, read_opening(&mut stream)).await?? {
        Opening::Relay { .. } if Rc::strong_count(&relayed) > RELAYED_AT_MOST => Ok(()),
        Opening::Relay { database } => relay(&gateway, stream, &database).await,
        Opening::Calls => {
            drop(relayed);
            home::serve(gateway, stream).await;
            Ok(())
        }
        Opening::Feed => {
            drop(relayed);
            feed::serve(gateway, stream).await;
            Ok(())
        }
    }
}

async fn relay(
    gateway: &Rc<Gateway>,
    mut stream: TcpStream,
    database: &DatabaseName,
) -> std::io::Result<()> {
    let address = {
        let directory = gateway.databases.directory.borrow();
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
