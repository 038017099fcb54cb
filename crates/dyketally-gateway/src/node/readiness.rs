//! Answers readiness probes over HTTP/1.1. The adapter's protocol decides what a response says.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::context::accept;
use crate::gateway::Gateway;
use crate::ports::ReadinessProtocol;

/// Maximum length of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 4_096;
/// Maximum lifetime of a probe's connection.
const CONNECTION_LIMIT: Duration = Duration::from_secs(30);
/// Pause before the next attempt to accept a connection after one has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The empty line that ends a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Serves probes until the process ends.
pub async fn serve(
    gateway: Rc<Gateway>,
    protocol: Rc<dyn ReadinessProtocol>,
    listener: TcpListener,
) {
    loop {
        let stream = accept(&listener, ACCEPT_PAUSE).await;
        let probes = answer_probes(gateway.clone(), protocol.clone(), stream);
        tokio::task::spawn_local(tokio::time::timeout(CONNECTION_LIMIT, probes));
    }
}

async fn answer_probes(
    gateway: Rc<Gateway>,
    protocol: Rc<dyn ReadinessProtocol>,
    mut stream: TcpStream,
) -> std::io::Result<()> {
    let mut input = Vec::new();
    while let Some(head) = next_head(&mut stream, &mut input).await? {
        let response = protocol.respond(&head, gateway.is_ready());
        stream.write_all(response.as_bytes()).await?;
    }
    Ok(())
}

/// Reads the next request's head from `stream` and removes it from `input`, which keeps the bytes read beyond it;
/// `None` when the connection ends or the head is too long.
pub(super) async fn next_head(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = head_end(input) {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..end);
            return Ok(Some(head));
        }
        if input.len() > MAX_HEAD_BYTES || stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    }
}

/// The length of the request's head, its empty line included; `None` while it is incomplete.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(HEAD_END.len());
    let start = windows.position(|window| window == HEAD_END)?;
    Some(start + HEAD_END.len())
}
