//! Links among the members of a group: carries messages, and notices what arrives of them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use dyketally::identifiers::DatabaseName;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::InspectReader;
use tokio_util::sync::CancellationToken;

use super::replication::{Envelope, Message};
use super::settings::PeerSettings;
use super::sync::lock;

/// Pause before a peer that can't be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Largest message among members, in bytes.
const LARGEST_FRAME: usize = 256 * 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST_FRAME)
        .new_codec()
}

/// Hands what peers send to the member until `stopped`.
pub(super) async fn accept_peers(
    listener: TcpListener,
    inbox: mpsc::Sender<Envelope>,
    arrived: Arc<Arrivals>,
    stopped: CancellationToken,
) {
    while let Some(accepted) = stopped.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let reader = read_from_peer(stream, inbox.clone(), arrived.clone());
        let stopped = stopped.clone();
        tokio::spawn(async move { stopped.run_until_cancelled(reader).await });
    }
}

async fn read_from_peer(stream: TcpStream, inbox: mpsc::Sender<Envelope>, arrived: Arc<Arrivals>) {
    // Known from the first whole message on.
    let peer = OnceLock::new();
    let counted = InspectReader::new(stream, |bytes| arrived.count(peer.get(), bytes.len()));
    let mut frames = FramedRead::new(counted, codec());
    while let Some(Ok(frame)) = frames.next().await {
        // Anything else comes from no member: the connection is closed.
        let Ok(envelope) = postcard::from_bytes::<Envelope>(&frame) else {
            return;
        };
        peer.get_or_init(|| envelope.from.clone());
        if inbox.send(envelope).await.is_err() {
            return;
        }
    }
}

/// Sends the member's messages to one peer.
pub(super) async fn send_to_peer(
    own_name: DatabaseName,
    peer: PeerSettings,
    mut messages: mpsc::Receiver<Message>,
) {
    loop {
        let Ok(stream) = TcpStream::connect(peer.address).await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            // What waited is out of date.
            while messages.try_recv().is_ok() {}
            continue;
        };
        // Messages are small and urgent; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let mut frames = FramedWrite::new(stream, codec());
        loop {
            let Some(message) = messages.recv().await else {
                return;
            };
            let envelope = Envelope {
                from: own_name.clone(),
                message,
            };
            // Messages of the replication are plain data, which always encode.
            let Ok(frame) = postcard::to_stdvec(&envelope) else {
                continue;
            };
            if frames.send(Bytes::from(frame)).await.is_err() {
                break;
            }
        }
    }
}

/// What has arrived from peers, whole messages or parts of them. A primary that passes a long row on sends
/// its heartbeats behind it: at 2.5 MB/s a row of 5 MB holds them up for 2 s, and only its parts show that the
/// primary is there.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    bytes: AtomicUsize,
    last: Mutex<BTreeMap<DatabaseName, Instant>>,
}

impl Arrivals {
    fn count(&self, peer: Option<&DatabaseName>, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        if let Some(peer) = peer {
            lock(&self.last).insert(peer.clone(), Instant::now());
        }
    }

    /// Bytes that have arrived from all peers.
    pub(super) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// True when something has arrived from `peer` since `time`.
    pub(super) fn any_since(&self, peer: &DatabaseName, time: Instant) -> bool {
        lock(&self.last).get(peer).is_some_and(|at| *at >= time)
    }
}
