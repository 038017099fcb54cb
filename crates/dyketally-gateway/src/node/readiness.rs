//! Answers readiness probes over HTTP/1.1.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::context::accept;
use crate::gateway::Gateway;
use crate::ports::ReadinessProtocol;

/// Longest head of a request.
const HEAD_AT_MOST: usize = 4_096;
/// How long a probing connection may rest.
const REST_LIMIT: Duration = Duration::from_secs(30);
/// Pause before a connection is accepted after a failure; not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
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
        tokio::task::spawn_local(tokio::time::timeout(REST_LIMIT, probes));
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

/// The head of the next request, taken out of `input`, which keeps what was read beyond it; `None` when
/// the connection ends or the head is too long.
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
        if input.len() > HEAD_AT_MOST || stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    }
}

/// Where the head of a request ends, once it is whole.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(HEAD_END.len());
    let start = windows.position(|window| window == HEAD_END)?;
    Some(start + HEAD_END.len())
}
