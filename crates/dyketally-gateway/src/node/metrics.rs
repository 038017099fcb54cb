//! Serves the metrics over HTTP/1.1.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::exposition;
use super::readiness::next_head;
use crate::context::accept;
use crate::gateway::Gateway;

const PATH: &str = "/metrics";
/// Pause before a connection is accepted after a failure; not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long one request may take.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);
/// The media type of the text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Serves requests, each on a connection of its own, until the process ends.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener, ACCEPT_PAUSE).await;
        let serving = serve_one(gateway.clone(), stream);
        tokio::task::spawn_local(tokio::time::timeout(REQUEST_LIMIT, serving));
    }
}

async fn serve_one(gateway: Rc<Gateway>, mut stream: TcpStream) -> std::io::Result<()> {
    let mut input = Vec::new();
    let Some(head) = next_head(&mut stream, &mut input).await? else {
        return Ok(());
    };
    let path = head.split(' ').nth(1).unwrap_or_default();
    let (status, body) = match path {
        PATH => ("200 OK", exposition::metrics(&gateway)),
        _ => ("404 Not Found", String::new()),
    };
    let length = body.len();
    let response = format!(
        "HTTP/1.1 {status}\r\nContent-Type: {TEXT_FORMAT}\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await
}
