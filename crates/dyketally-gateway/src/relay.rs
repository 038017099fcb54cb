//! Connections to a database by way of another node, for nodes that are cut off from it.
//!
//! The node that relays only moves bytes; whoever asked speaks to the database itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::connection::set_silent_peer_limit;
use crate::gateway::Gateway;
use crate::pool::OPEN_LIMIT;

const LONGEST_REQUEST: usize = 512;
/// Connections that a node relays at one time.
const RELAYED_AT_MOST: usize = 64;

/// What a node sends first on a connection that is to be relayed, after its length in two bytes.
#[derive(Debug, Serialize, Deserialize)]
struct RelayRequest {
    database: DatabaseName,
}

/// Connects to `database` by way of the node at `relay`.
///
/// # Errors
/// The node can't be reached.
pub async fn connect(relay: SocketAddr, database: &DatabaseName) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(relay).await?;
    let request = RelayRequest {
        database: database.clone(),
    };
    let body = postcard::to_stdvec(&request).map_err(std::io::Error::other)?;
    let mut message = (body.len() as u16).to_be_bytes().to_vec();
    message.extend(body);
    stream.write_all(&message).await?;
    Ok(stream)
}

/// Relays connections of other nodes until the process ends.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let running = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&running) > RELAYED_AT_MOST {
            continue;
        }
        let gateway = gateway.clone();
        let counted = running.clone();
        tokio::task::spawn_local(async move {
            // The asking node sees a connection that ends, whatever the reason.
            let _ = relay(&gateway, stream).await;
            drop(counted);
        });
    }
}

async fn relay(gateway: &Rc<Gateway>, mut stream: TcpStream) -> std::io::Result<()> {
    let opening = open(gateway, &mut stream);
    let mut onward = tokio::time::timeout(OPEN_LIMIT, opening).await??;
    for end in [&stream, &onward] {
        end.set_nodelay(true)?;
        set_silent_peer_limit(end);
    }
    tokio::io::copy_bidirectional(&mut stream, &mut onward).await?;
    Ok(())
}

async fn open(gateway: &Rc<Gateway>, stream: &mut TcpStream) -> std::io::Result<TcpStream> {
    let length = usize::from(stream.read_u16().await?);
    if length > LONGEST_REQUEST {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    let request: RelayRequest = postcard::from_bytes(&body).map_err(std::io::Error::other)?;
    let address = {
        let directory = gateway.directory.borrow();
        let member = directory.member(&request.database);
        member.map(|member| member.announcement.address)
    };
    TcpStream::connect(address.ok_or(std::io::ErrorKind::NotFound)?).await
}
