//! The edge's end of the links: one connection to each home node, opened when first needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use dyketally::identifiers::{NodeName, RequestId, SessionId};
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally_protocol::{Completion, EdgeMessage, Hello, HomeMessage, PROTOCOL_VERSION};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, SinkExt, StreamExt, future::BoxFuture};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use super::unreachable::UnreachableNodes;
use super::{EdgeCodec, HANDSHAKE_TIMEOUT, LinkError, check_version};
use crate::reply::{HomeRequest, ReplySender};

/// Commands that may wait for one link; more are refused as not run.
const COMMANDS_AT_MOST: usize = 8_192;
/// Commands taken at once before what they wrote is flushed.
const COMMANDS_PER_FLUSH: usize = 64;

/// The links of one edge, by the address of the home node.
#[derive(Clone, Debug)]
pub struct LinkPool {
    node: NodeName,
    links: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<Command>>>>,
    unreachable: Arc<UnreachableNodes>,
}

#[derive(Debug)]
enum Command {
    Execute(Box<HomeRequest>),
    EndSession(SessionId),
}

impl LinkPool {
    /// Links that introduce themselves as `node`.
    pub fn new(node: NodeName) -> Self {
        Self {
            node,
            links: Arc::default(),
            unreachable: Arc::default(),
        }
    }

    /// Sends `request` to the node at `address`. The reply always completes: with `NotRun` when
    /// nothing was sent, with `Unknown` when the link broke later.
    pub fn submit(&self, address: SocketAddr, request: HomeRequest) {
        if let Err(Command::Execute(refused)) =
            self.command(address, Command::Execute(Box::new(request)))
        {
            finish_unsent(*refused);
        }
    }

    /// Tells the node at `address` that a session is over.
    pub fn end_session(&self, address: SocketAddr, session: SessionId) {
        // A link that is gone has ended its sessions already.
        let _ = self.command(address, Command::EndSession(session));
    }

    /// True when no link could be opened to the node at `address` a moment ago.
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        self.unreachable.contains(address)
    }

    /// Closes the link to a node that is known to be dead: what is in flight there is unknown.
    pub fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn command(&self, address: SocketAddr, command: Command) -> Result<(), Command> {
        let link = self.link(address);
        match link.try_send(command) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Full(command)) => Err(command),
            Err(mpsc::error::TrySendError::Closed(command)) => {
                self.close(address);
                let link = self.link(address);
                link.try_send(command).map_err(|error| error.into_inner())
            }
        }
    }

    fn link(&self, address: SocketAddr) -> mpsc::Sender<Command> {
        let mut links = self.lock();
        let link = links.entry(address).or_insert_with(|| {
            let (sender, commands) = mpsc::channel(COMMANDS_AT_MOST);
            let unreachable = self.unreachable.clone();
            tokio::spawn(run_link(self.node.clone(), address, commands, unreachable));
            sender
        });
        link.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, mpsc::Sender<Command>>> {
        self.links
            .lock()
            .expect("no code panics while it holds this lock")
    }
}

fn finish_unsent(request: HomeRequest) {
    // An edge that has gone needs no answer.
    let _ = request.reply.finish(Completion::NotRun {
        reason: NotRunReason::Unreachable,
        retry_after: None,
    });
}

async fn run_link(
    node: NodeName,
    address: SocketAddr,
    mut commands: mpsc::Receiver<Command>,
    unreachable: Arc<UnreachableNodes>,
) {
    let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, open(node, address)).await;
    let result = match opened.unwrap_or(Err(LinkError::Timeout)) {
        Ok(frames) => {
            unreachable.clear(address);
            Link::new(frames).run(&mut commands).await
        }
        Err(error) => {
            unreachable.mark(address);
            Err(error)
        }
    };
    if let Err(error) = result {
        log::info!("link to {address} ended: {error}");
    }
    commands.close();
    while let Some(command) = commands.recv().await {
        if let Command::Execute(request) = command {
            finish_unsent(*request);
        }
    }
}

pub(super) async fn open(
    node: NodeName,
    address: SocketAddr,
) -> Result<Framed<TcpStream, EdgeCodec>, LinkError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, EdgeCodec::default());
    let hello = Hello {
        version: PROTOCOL_VERSION,
        node,
    };
    frames.send(EdgeMessage::Hello(hello)).await?;
    match frames.next().await.ok_or(LinkError::Closed)?? {
        HomeMessage::Hello(hello) => check_version(&hello.node, hello.version)?,
        _ => return Err(LinkError::NoHello),
    }
    Ok(frames)
}

struct InFlight {
    session: SessionId,
    reply: ReplySender,
}

struct Link {
    frames: Framed<TcpStream, EdgeCodec>,
    next_request: u64,
    in_flight: HashMap<RequestId, InFlight>,
    cancelled: FuturesUnordered<BoxFuture<'static, RequestId>>,
    /// Messages that the link itself has to send: room granted, sessions ended.
    own: mpsc::UnboundedReceiver<EdgeMessage>,
    own_sender: mpsc::UnboundedSender<EdgeMessage>,
}

impl Link {
    fn new(frames: Framed<TcpStream, EdgeCodec>) -> Self {
        let (own_sender, own) = mpsc::unbounded_channel();
        Self {
            frames,
            next_request: 1,
            in_flight: HashMap::new(),
            cancelled: FuturesUnordered::new(),
            own,
            own_sender,
        }
    }

    async fn run(mut self, commands: &mut mpsc::Receiver<Command>) -> Result<(), LinkError> {
        let result = self.serve(commands).await;
        for (_, request) in self.in_flight.drain() {
            // An edge that has gone needs no answer.
            let _ = request.reply.finish(Completion::Unknown {
                reason: UnknownReason::HomeLost,
            });
        }
        result
    }

    async fn serve(&mut self, commands: &mut mpsc::Receiver<Command>) -> Result<(), LinkError> {
        loop {
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    self.take_commands(command, commands).await?;
                }
                message = self.frames.next() => {
                    self.receive(message.ok_or(LinkError::Closed)??)?;
                }
                Some(request) = self.cancelled.next() => self.cancel(request).await?,
                Some(message) = self.own.recv() => self.frames.send(message).await?,
            }
        }
    }

    async fn take_commands(
        &mut self,
        first: Command,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Result<(), LinkError> {
        self.feed(first).await?;
        for _ in 1..COMMANDS_PER_FLUSH {
            let Ok(command) = commands.try_recv() else {
                break;
            };
            self.feed(command).await?;
        }
        self.frames.flush().await?;
        Ok(())
    }

    async fn feed(&mut self, command: Command) -> Result<(), LinkError> {
        match command {
            Command::Execute(request) => self.execute(*request).await,
            Command::EndSession(session) => {
                let message = EdgeMessage::EndSession { session };
                Ok(self.frames.feed(message).await?)
            }
        }
    }

    async fn execute(&mut self, request: HomeRequest) -> Result<(), LinkError> {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let reply = self.report_consumption(id, request.reply);
        let session = request.execute.session.clone();
        self.in_flight.insert(id, InFlight { session, reply });
        let cancelled = request.cancelled.cancelled_owned();
        self.cancelled.push(cancelled.map(move |()| id).boxed());
        let mut execute = request.execute;
        execute.request = id;
        let fed = self.frames.feed(EdgeMessage::Execute(execute)).await;
        if let Err(dyketally_protocol::FrameError::TooLong { .. }) = fed {
            self.finish(
                id,
                Completion::NotRun {
                    reason: NotRunReason::Refused,
                    retry_after: None,
                },
            );
            return Ok(());
        }
        Ok(fed?)
    }

    fn report_consumption(&self, request: RequestId, reply: ReplySender) -> ReplySender {
        let sender = self.own_sender.clone();
        reply.on_consumed(move |chunks| {
            // A link that has ended needs no report.
            let _ = sender.send(EdgeMessage::Consumed { request, chunks });
        });
        reply
    }

    async fn cancel(&mut self, request: RequestId) -> Result<(), LinkError> {
        if self.in_flight.contains_key(&request) {
            self.frames.send(EdgeMessage::Cancel { request }).await?;
        }
        Ok(())
    }

    fn receive(&mut self, message: HomeMessage) -> Result<(), LinkError> {
        match message {
            HomeMessage::Hello(_) | HomeMessage::Configuration(_) => Err(LinkError::NoHello),
            HomeMessage::Data { request, messages } => {
                // An unknown request is one that the edge gave up: its data is dropped.
                let Some(in_flight) = self.in_flight.get(&request) else {
                    return Ok(());
                };
                in_flight
                    .reply
                    .try_data(messages)
                    .map_err(|_| LinkError::Overrun)
            }
            HomeMessage::Finished {
                request,
                completion,
            } => {
                self.finish(request, completion);
                Ok(())
            }
        }
    }

    /// Hands the completion to the edge's session. If that has gone, a transaction that the
    /// request left open is ended.
    fn finish(&mut self, request: RequestId, completion: Completion) {
        let Some(in_flight) = self.in_flight.remove(&request) else {
            return;
        };
        if in_flight.reply.finish(completion).is_err() {
            let session = in_flight.session;
            // The link's own queue outlives this call.
            let _ = self.own_sender.send(EdgeMessage::EndSession { session });
        }
    }
}
