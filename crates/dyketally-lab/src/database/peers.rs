//! Carries messages among the members of a group, and drives the member with the clock.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use dyketally::group::{Role, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{Framed, FramedRead, LengthDelimitedCodec};
use tokio_util::io::InspectReader;
use tokio_util::sync::CancellationToken;

use super::replication::{Append, Envelope, Message};
use super::server::Database;
use super::settings::PeerSettings;
use super::sync::lock;

/// Messages that may wait for the member or for a peer; more are dropped and sent again later.
const QUEUE_LENGTH: usize = 1_024;
/// How often the member sees the clock.
const TICK: Duration = Duration::from_millis(5);
/// Time between two ticks from which on the member counts as having stood still: ten ticks. A process of one
/// thread that reads a row of 5 MB beside much load stood still for 0.36 to 1.0 s.
const STANDSTILL: Duration = Duration::from_millis(50);
/// Pause before a peer that can't be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Largest message among members, in bytes.
const LARGEST_FRAME: usize = 256 * 1024 * 1024;

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> FramedStream {
    // Messages are small and urgent; a socket without the option still works.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, codec())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST_FRAME)
        .new_codec()
}

/// Drives the member of `database` until `stopped`.
pub async fn run_member(
    database: Arc<Database>,
    listener: TcpListener,
    stopped: CancellationToken,
) {
    let (inbox_sender, inbox) = mpsc::channel(QUEUE_LENGTH);
    let arrived = Arc::new(Arrivals::default());
    let accepting = accept_peers(listener, inbox_sender, arrived.clone(), stopped.clone());
    tokio::spawn(accepting);
    let peers = database.settings.peers.iter();
    let outboxes = peers
        .map(|peer| {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            let link = send_to_peer(database.settings.name.clone(), peer.clone(), receiver);
            let stopped = stopped.clone();
            tokio::spawn(async move { stopped.run_until_cancelled(link).await });
            (peer.name.clone(), sender)
        })
        .collect();
    let driver = Driver {
        database,
        inbox,
        outboxes,
        delayed: VecDeque::new(),
        reported: None,
        arrived,
        received: 0,
        ticked: Instant::now(),
    };
    stopped.run_until_cancelled(driver.run()).await;
}

async fn accept_peers(
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

async fn send_to_peer(
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
        let mut frames = framed(stream);
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
struct Arrivals {
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

    /// True when something has arrived from `peer` since `time`.
    fn any_since(&self, peer: &DatabaseName, time: Instant) -> bool {
        lock(&self.last).get(peer).is_some_and(|at| *at >= time)
    }
}

/// An append that is applied late because this member lags.
struct DelayedAppend {
    received_at: Timestamp,
    from: DatabaseName,
    append: Append,
}

struct Driver {
    database: Arc<Database>,
    inbox: mpsc::Receiver<Envelope>,
    outboxes: BTreeMap<DatabaseName, mpsc::Sender<Message>>,
    delayed: VecDeque<DelayedAppend>,
    reported: Option<(Role, Term)>,
    /// What has arrived.
    arrived: Arc<Arrivals>,
    /// How many bytes had when a message was received last.
    received: usize,
    /// When the member saw the clock last.
    ticked: Instant,
}

impl Driver {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                envelope = self.inbox.recv() => match envelope {
                    Some(envelope) => self.receive(envelope),
                    None => return,
                },
                () = self.database.appended.notified() => {
                    self.database.with_member(|member, now| member.replicate(now));
                }
                _ = ticks.tick() => self.tick(),
            }
            self.deliver();
        }
    }

    fn tick(&mut self) {
        let last_tick = std::mem::replace(&mut self.ticked, Instant::now());
        let since_last_tick = last_tick.elapsed();
        self.notice_progress(last_tick);
        let stood = self.database.with_member(|member, _| member.is_candidate());
        let drained = self.database.is_leaving() && self.database.connections.count() == 0;
        self.database.with_member(|member, now| {
            if drained {
                member.leave();
            }
            member.tick(now);
        });
        let stands = self.database.with_member(|member, _| member.is_candidate());
        if stands && !stood {
            let name = &self.database.settings.name;
            let arrived = self.arrived.bytes.load(Ordering::Relaxed) - self.received;
            let waiting = self.inbox.len();
            log::info!(
                "database {name} stands for election; {since_last_tick:?} since it saw the clock, \
                 {waiting} messages wait, {arrived} bytes have arrived since the last one"
            );
        }
        self.apply_delayed();
        self.report();
    }

    /// Takes notice of what has happened since `last_tick` that isn't a whole message: parts of one that the
    /// primary sends, and a standstill of this member, in which it couldn't have heard anything.
    fn notice_progress(&mut self, last_tick: Instant) {
        let stood_still = last_tick.elapsed();
        let arrived = &self.arrived;
        self.database.with_member(|member, now| {
            if stood_still > STANDSTILL {
                member.stood_still(stood_still);
            }
            let primary = member.followed().cloned();
            if primary.is_some_and(|primary| arrived.any_since(&primary, last_tick)) {
                member.hear_part(now);
            }
        });
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        self.received = self.arrived.bytes.load(Ordering::Relaxed);
        if self.database.cut_from(&from).inbound {
            return;
        }
        let lags = !self.database.replication_lag().is_zero() || !self.delayed.is_empty();
        match message {
            Message::Append(append) if lags => self.delay(from, append),
            message => self
                .database
                .with_member(|member, now| member.receive(now, &from, message)),
        }
    }

    fn delay(&mut self, from: DatabaseName, append: Append) {
        let term = append.term;
        let received_at = self.database.with_member(|member, now| {
            member.hear_primary(now, &from, term);
            now
        });
        self.delayed.push_back(DelayedAppend {
            received_at,
            from,
            append,
        });
    }

    fn apply_delayed(&mut self) {
        let lag = self.database.replication_lag();
        let now = self.database.now();
        while let Some(first) = self.delayed.front() {
            if now.saturating_since(first.received_at) < lag {
                return;
            }
            let Some(due) = self.delayed.pop_front() else {
                return;
            };
            let message = Message::Append(due.append);
            self.database
                .with_member(|member, now| member.receive(now, &due.from, message));
        }
    }

    /// Hands the member's messages to the links; one that is cut or full drops them.
    fn deliver(&self) {
        let messages = self.database.with_member(|member, _| member.take_outbox());
        for (to, message) in messages {
            if self.database.cut_from(&to).outbound {
                continue;
            }
            if let Some(outbox) = self.outboxes.get(&to) {
                // A full link loses the message; replication sends again what was not confirmed.
                let _ = outbox.try_send(message);
            }
        }
    }

    fn report(&mut self) {
        let status = self.database.status();
        let current = Some((status.role, status.term));
        if current != self.reported {
            self.reported = current;
            let name = &self.database.settings.name;
            log::info!(
                "database {name}: {:?} in term {}",
                status.role,
                status.term.0
            );
        }
    }
}
