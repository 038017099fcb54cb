//! Serves the metrics over HTTP/1.1.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::readiness::head_end;
use crate::gateway::Gateway;

const PATH: &str = "/metrics";
/// Longest head of a request.
const HEAD_AT_MOST: usize = 4_096;
/// How long one request may take.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);
/// The media type of the text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Serves requests, each on a connection of its own, until the process ends.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_one(gateway.clone(), stream);
                tokio::task::spawn_local(tokio::time::timeout(REQUEST_LIMIT, serving));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve_one(gateway: Rc<Gateway>, mut stream: TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    while head_end(&head).is_none() {
        if head.len() > HEAD_AT_MOST || stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let head = String::from_utf8_lossy(&head);
    let path = head.split(' ').nth(1).unwrap_or_default();
    let (status, body) = match path {
        PATH => ("200 OK", gateway.metrics()),
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
