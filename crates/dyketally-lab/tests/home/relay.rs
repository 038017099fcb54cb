//! A relay in front of a database that can stall, or lose the reply to a commit.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

const COMMIT: &[u8] = b"COMMIT";
const BUFFER_BYTES: usize = 64 * 1024;
/// The commit takes effect before the connection is seen to end.
const COMMIT_TIME: Duration = Duration::from_millis(300);

/// What a relay does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Keeps connections open but passes nothing on, as a frozen process does.
    Stall,
    /// Passes everything on, but ends the first connection that commits without the reply.
    LoseCommit,
}

/// A running relay.
pub struct Relay {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Relay {
    pub async fn start(target: SocketAddr, mode: Mode) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let mode = watch::Sender::new(mode);
        let modes = mode.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, target, modes.clone()));
            }
        });
        Self { address, mode }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    mode: watch::Sender<Mode>,
) -> std::io::Result<()> {
    let server = TcpStream::connect(target).await?;
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut back = tokio::spawn(pass_replies(server_reader, client_writer, mode.subscribe()));
    let replies = back.abort_handle();
    let requests = pass_requests(client_reader, server_writer, &mode, replies);
    tokio::pin!(requests);
    tokio::select! {
        ended = &mut requests => {
            back.abort();
            ended
        }
        // Aborted: the connection ends once the commit has taken effect.
        Err(_) = &mut back => requests.await,
        else => Ok(()),
    }
}

async fn pass_replies(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        let _ = modes.wait_for(|mode| *mode != Mode::Stall).await;
        writer.write_all(&buffer[..read]).await?;
    }
}

async fn pass_requests(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mode: &watch::Sender<Mode>,
    replies: AbortHandle,
) -> std::io::Result<()> {
    let mut modes = mode.subscribe();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        let _ = modes.wait_for(|mode| *mode != Mode::Stall).await;
        let commits = buffer[..read]
            .windows(COMMIT.len())
            .any(|word| word == COMMIT);
        if commits && mode.send_if_modified(disarm) {
            replies.abort();
            writer.write_all(&buffer[..read]).await?;
            tokio::time::sleep(COMMIT_TIME).await;
            return Ok(());
        }
        writer.write_all(&buffer[..read]).await?;
    }
}

fn disarm(mode: &mut Mode) -> bool {
    let armed = *mode == Mode::LoseCommit;
    if armed {
        *mode = Mode::Pass;
    }
    armed
}
