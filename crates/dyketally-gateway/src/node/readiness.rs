//! Answers readiness probes over HTTP/1.1.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::Gateway;
use crate::ports::ReadinessProtocol;

/// Longest head of a request.
const HEAD_AT_MOST: usize = 4_096;
/// How long a probing connection may rest.
const REST_LIMIT: Duration = Duration::from_secs(30);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Serves probes until the process ends.
pub async fn serve(
    gateway: Rc<Gateway>,
    protocol: Rc<dyn ReadinessProtocol>,
    listener: TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let probes = answer_probes(gateway.clone(), protocol.clone(), stream);
                tokio::task::spawn_local(tokio::time::timeout(REST_LIMIT, probes));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn answer_probes(
    gateway: Rc<Gateway>,
    protocol: Rc<dyn ReadinessProtocol>,
    mut stream: TcpStream,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    loop {
        if let Some(end) = head_end(&head) {
            let text = String::from_utf8_lossy(&head[..end]).into_owned();
            head.drain(..end);
            let response = protocol.respond(&text, gateway.is_ready());
            stream.write_all(response.as_bytes()).await?;
            continue;
        }
        if head.len() > HEAD_AT_MOST || stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
}

/// Where the head of a request ends, once it is whole.
pub(super) fn head_end(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(HEAD_END.len());
    let start = windows.position(|window| window == HEAD_END)?;
    Some(start + HEAD_END.len())
}
