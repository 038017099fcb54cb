//! Serves the connections that other nodes open to this one, each for the purpose that it opens with.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use tokio::net::{TcpListener, TcpStream};

use crate::context::accept;
use crate::database::connection::prepare_socket;
use crate::database::pool::OPEN_LIMIT;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::opening::{self, Opening};
use crate::fleet::{forwarding, home};

/// Pause before a connection is accepted after a failure; not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that a node forwards at one time. Not measured.
const FORWARDED_AT_MOST: usize = 64;

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
    match tokio::time::timeout(OPEN_LIMIT, opening::read(&mut stream)).await?? {
        Opening::Forward { .. } if Rc::strong_count(&forwarded) > FORWARDED_AT_MOST => Ok(()),
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
