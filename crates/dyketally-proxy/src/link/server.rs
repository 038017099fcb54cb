//! The home's end of the links: accepts edges and runs their requests on the homes of this node.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};

use dyketally::configuration::sync::PullRequest;
use dyketally::identifiers::{NodeName, RequestId, SessionId};
use dyketally_protocol::{
    Completion, EdgeMessage, ExecuteRequest, FrameError, Hello, HomeMessage, PROTOCOL_VERSION,
    TransactionStatus,
};
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::pull::answer_pull;
use super::{HANDSHAKE_TIMEOUT, HomeCodec, LinkError, check_version};
use crate::accept::accept;
use crate::homes::Homes;
use crate::reply::{HomeRequest, REPLY_CHUNKS_IN_FLIGHT, ReplyReceiver, reply_channel};
use crate::stores::dissemination::Dissemination;

/// Messages that may wait for the connection's writer.
const OUTGOING_AT_MOST: usize = 1_024;
/// Messages written before a flush.
const MESSAGES_PER_FLUSH: usize = 64;

/// What the links of one node share.
#[derive(Clone, Debug)]
pub struct LinkServer {
    /// This node.
    pub node: NodeName,
    /// The homes that run requests.
    pub homes: Arc<Homes>,
    /// What answers pulls of the configuration; `None` when it comes from a file.
    pub configuration: Option<Dissemination>,
}

/// Accepts links until `stop` is cancelled.
pub async fn serve_links(listener: TcpListener, server: LinkServer, stop: CancellationToken) {
    loop {
        let (stream, address) = tokio::select! {
            accepted = accept(&listener) => accepted,
            () = stop.cancelled() => return,
        };
        let server = server.clone();
        let stop = stop.child_token();
        tokio::spawn(async move {
            tokio::select! {
                result = serve_link(stream, server) => {
                    if let Err(error) = result {
                        log::info!("link from {address} ended: {error}");
                    }
                }
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn serve_link(stream: TcpStream, server: LinkServer) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let (read_half, write_half) = stream.into_split();
    let mut incoming = FramedRead::new(read_half, HomeCodec::default());
    let mut outgoing = FramedWrite::new(write_half, HomeCodec::default());
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, incoming.next()).await;
    let hello = handshake.map_err(|_| LinkError::Timeout)?;
    let EdgeMessage::Hello(hello) = hello.ok_or(LinkError::Closed)?? else {
        return Err(LinkError::NoHello);
    };
    // The answer goes out also to another version, so that both sides can say what is wrong.
    let answer = Hello {
        version: PROTOCOL_VERSION,
        node: server.node.clone(),
    };
    outgoing.send(HomeMessage::Hello(answer)).await?;
    check_version(&hello.node, hello.version)?;

    let (sender, messages) = mpsc::channel(OUTGOING_AT_MOST);
    let writer = tokio::spawn(write_messages(outgoing, messages));
    let connection = Connection {
        homes: server.homes,
        configuration: server.configuration,
        sender,
        running: Arc::default(),
        open_transactions: Arc::default(),
    };
    let result = connection.serve(&mut incoming).await;
    connection.abandon();
    writer.abort();
    result
}

type Outgoing = FramedWrite<tokio::net::tcp::OwnedWriteHalf, HomeCodec>;

async fn write_messages(
    mut outgoing: Outgoing,
    mut messages: mpsc::Receiver<HomeMessage>,
) -> Result<(), FrameError> {
    while let Some(message) = messages.recv().await {
        outgoing.feed(message).await?;
        for _ in 1..MESSAGES_PER_FLUSH {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            outgoing.feed(message).await?;
        }
        outgoing.flush().await?;
    }
    Ok(())
}

struct Running {
    /// Cancels the request when the link ends.
    cancelled: DropGuard,
    /// `Data` messages that the edge has room for.
    window: Arc<Semaphore>,
}

/// One edge's link.
#[derive(Clone)]
struct Connection {
    homes: Arc<Homes>,
    configuration: Option<Dissemination>,
    sender: mpsc::Sender<HomeMessage>,
    running: Arc<Mutex<HashMap<RequestId, Running>>>,
    open_transactions: Arc<Mutex<HashSet<SessionId>>>,
}

impl Connection {
    async fn serve(
        &self,
        incoming: &mut FramedRead<tokio::net::tcp::OwnedReadHalf, HomeCodec>,
    ) -> Result<(), LinkError> {
        while let Some(message) = incoming.next().await {
            match message? {
                EdgeMessage::Hello(_) => return Err(LinkError::NoHello),
                EdgeMessage::Execute(request) => self.execute(request),
                EdgeMessage::Consumed { request, chunks } => self.grant(request, chunks),
                EdgeMessage::Cancel { request } => self.cancel(request),
                EdgeMessage::EndSession { session } => self.end_session(session),
                EdgeMessage::PullConfiguration(request) => self.answer_pull(request).await?,
            }
        }
        Err(LinkError::Closed)
    }

    fn execute(&self, execute: ExecuteRequest) {
        let cancelled = CancellationToken::new();
        let window = Arc::new(Semaphore::new(REPLY_CHUNKS_IN_FLIGHT));
        let running = Running {
            cancelled: cancelled.clone().drop_guard(),
            window: window.clone(),
        };
        let request = execute.request;
        let session = execute.session.clone();
        lock(&self.running).insert(request, running);
        let (reply, receiver) = reply_channel();
        self.homes.submit_here(HomeRequest {
            execute,
            cancelled,
            reply,
        });
        let connection = self.clone();
        tokio::spawn(async move {
            let completion = connection.pass_on(request, receiver, &window).await;
            connection.note_transaction(session, &completion);
            lock(&connection.running).remove(&request);
            let finished = HomeMessage::Finished {
                request,
                completion,
            };
            // A link that has ended needs no answer.
            let _ = connection.sender.send(finished).await;
        });
    }

    async fn pass_on(
        &self,
        request: RequestId,
        mut receiver: ReplyReceiver,
        window: &Semaphore,
    ) -> Completion {
        while let Some(messages) = receiver.next().await {
            if let Ok(permit) = window.acquire().await {
                permit.forget();
            }
            let data = HomeMessage::Data { request, messages };
            if self.sender.send(data).await.is_err() {
                break;
            }
        }
        crate::edge::completion_of(receiver).await
    }

    /// Remembers which sessions hold a transaction here, to end them when the link breaks.
    fn note_transaction(&self, session: SessionId, completion: &Completion) {
        let mut open = lock(&self.open_transactions);
        match completion {
            Completion::Done { transaction, .. } if *transaction != TransactionStatus::Idle => {
                open.insert(session);
            }
            _ => {
                open.remove(&session);
            }
        }
    }

    async fn answer_pull(&self, request: PullRequest) -> Result<(), LinkError> {
        let reply = answer_pull(self.configuration.as_ref(), request).await?;
        let sent = self.sender.send(HomeMessage::Configuration(reply)).await;
        sent.map_err(|_| LinkError::Closed)
    }

    fn grant(&self, request: RequestId, chunks: u32) {
        if let Some(running) = lock(&self.running).get(&request) {
            let room = REPLY_CHUNKS_IN_FLIGHT.saturating_sub(running.window.available_permits());
            running.window.add_permits(room.min(chunks as usize));
        }
    }

    fn cancel(&self, request: RequestId) {
        // Dropping the guard cancels; the completion still goes out.
        if let Some(running) = lock(&self.running).remove(&request) {
            running.window.close();
            drop(running.cancelled);
        }
    }

    fn end_session(&self, session: SessionId) {
        lock(&self.open_transactions).remove(&session);
        self.homes.end_session_here(&session);
    }

    fn abandon(&self) {
        let mut running = lock(&self.running);
        for (_, request) in running.drain() {
            request.window.close();
        }
        for session in lock(&self.open_transactions).drain() {
            self.homes.end_session_here(&session);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no code panics while it holds this lock")
}
