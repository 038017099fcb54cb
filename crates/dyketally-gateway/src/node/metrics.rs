//! Serves the metrics over HTTP/1.1, at the path `/metrics`.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::exposition;
use super::readiness::next_head;
use crate::context::accept;
use crate::gateway::Gateway;

const PATH: &str = "/metrics";
/// Pause before the next attempt to accept a connection after one has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Timeout for one request, from the accepted connection to the sent response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Media type of the text format of metrics.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Serves requests until the process ends; each connection is closed after one request.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener, ACCEPT_PAUSE).await;
        let serving = serve_one(gateway.clone(), stream);
        tokio::task::spawn_local(tokio::time::timeout(REQUEST_TIMEOUT, serving));
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
