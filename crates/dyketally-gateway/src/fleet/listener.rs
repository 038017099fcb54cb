//! Accepts the TCP connections that other nodes open to this node, and serves each as its opening requests.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use tokio::net::{TcpListener, TcpStream};

use crate::context::accept;
use crate::database::connection::prepare_socket;
use crate::database::pool::OPEN_TIMEOUT;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::opening::{self, Opening};
use crate::fleet::{forwarding, home};

/// Pause before the next accept after an accept failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of connections that this node forwards at the same time.
const MAX_FORWARDED: usize = 64;

/// Serves a connection by which another node subscribes to this node's copy of the store.
pub type ServeFeed = Rc<dyn Fn(TcpStream) -> LocalBoxFuture<'static, ()>>;

/// Accepts and serves connections of other nodes until the process ends.
pub async fn serve(access: Rc<DatabaseAccess>, serve_feed: ServeFeed, listener: TcpListener) {
    let forwarded = Rc::new(());
    loop {
        let stream = accept(&listener, ACCEPT_RETRY_PAUSE).await;
        let access = access.clone();
        let serve_feed = serve_feed.clone();
        let forwarded = forwarded.clone();
        tokio::task::spawn_local(async move {
            // The error needs no handling: the other node sees that the connection was closed.
            let _ = serve_one(access, serve_feed, stream, forwarded).await;
        });
    }
}

/// Serves one connection. The reference count of `forwarded` bounds the connections that are forwarded:
/// each holds a reference until it closes, and connections of other kinds drop theirs.
async fn serve_one(
    access: Rc<DatabaseAccess>,
    serve_feed: ServeFeed,
    mut stream: TcpStream,
    forwarded: Rc<()>,
) -> std::io::Result<()> {
    prepare_socket(&stream);
    match tokio::time::timeout(OPEN_TIMEOUT, opening::read(&mut stream)).await?? {
        Opening::Forward { .. } if Rc::strong_count(&forwarded) > MAX_FORWARDED => Ok(()),
        Opening::Forward { database } => forwarding::forward(&access, stream, &database).await,
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
