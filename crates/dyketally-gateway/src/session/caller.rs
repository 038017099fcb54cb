//! The caller's connection of a session: reads messages and writes replies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dyketally::budget::{FREE_BYTES, ROW_BYTES};
use dyketally::statement::{FailureKind, TransactionState};
use dyketally::tenant::ApiKey;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::Sessions;
use super::admission::Admission;
use super::intake::{Intake, Patience, Received};
use super::load::OpenSession;
use crate::context::memory::Reservation;
use crate::context::{Limit, UnreadAnswer};
use crate::ports::{CallerMessage, Reply};
use crate::statement::request::Response;

/// Longest time from the connection to the first message.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time from the connection to the first message when the session is refused anyway: each such
/// connection holds a descriptor.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a new session waits for the first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_600);
/// Longest time that a caller may take to accept an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of bytes of a long answer that are encoded before they are written.
const WRITE_CHUNK: usize = 32 << 10;

/// The first message of a caller.
pub(super) struct ConnectRequest {
    /// The requested database.
    pub(super) database: String,
    /// API key that identifies the tenant.
    pub(super) key: ApiKey,
}

/// A caller's connection.
pub(super) struct Caller {
    sessions: Rc<Sessions>,
    stream: TcpStream,
    intake: Intake,
}

/// What happened while a session waited for its caller.
pub(super) enum SessionEvent {
    /// A message, and the memory that it takes beyond the free bytes.
    Message(CallerMessage, Option<Reservation>),
    Closed,
    InputRejected(Response),
    TransactionIdle,
    Stop,
}

impl Caller {
    /// A connection that was just accepted.
    pub(super) fn new(sessions: Rc<Sessions>, stream: TcpStream) -> Self {
        Self {
            intake: Intake::new(sessions.protocol.clone()),
            sessions,
            stream,
        }
    }

    /// Reads the first message, checks it and confirms the session. Returns `None` when no session is opened.
    pub(super) async fn handshake(&mut self, open: &mut OpenSession) -> Option<ConnectRequest> {
        let message = self.next_message(Patience::None);
        let (database, key) = match tokio::time::timeout(HANDSHAKE_TIMEOUT, message)
            .await
            .ok()?
        {
            SessionEvent::Message(CallerMessage::Connect { database, key }, _) => (database, key),
            SessionEvent::InputRejected(response) => {
                self.refuse(response).await;
                return None;
            }
            _ => return None,
        };
        open.set_busy();
        self.sessions
            .cx
            .wait_until_configured(Instant::now() + CONFIGURATION_WAIT)
            .await;
        if !self.sessions.cx.is_configured() {
            let response = Response::failed(
                FailureKind::Overloaded,
                "this node has received no configuration yet; connect to another node, or retry later",
            );
            self.refuse(response).await;
            return None;
        }
        if let Err(refused) = Admission::of(&self.sessions.cx, &database, &key) {
            self.refuse(refused).await;
            return None;
        }
        let ready = Reply::Ready {
            state: TransactionState::Idle,
            position: None,
        };
        self.write(&[ready]).await?;
        Some(ConnectRequest { database, key })
    }

    /// Waits briefly for the first message, and refuses the session with the advice to connect to another node.
    pub(super) async fn refuse_handshake(&mut self) {
        let message = self.next_message(Patience::None);
        let message = tokio::time::timeout(REFUSAL_TIMEOUT, message).await;
        if let Ok(SessionEvent::Message(..)) = message {
            let response = Response::failed(
                FailureKind::Overloaded,
                "this node has reached its session limit; connect to another node",
            );
            self.refuse(response).await;
        }
    }

    /// True when the caller has sent something before it got the answer to its last statement.
    pub(super) fn has_sent_ahead(&self) -> bool {
        self.intake.has_input()
    }

    /// The caller's address; `None` if its connection is broken.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// Records that `limit` acted on the caller, and tells the caller why its session ends.
    pub(super) async fn refuse_for(&mut self, limit: Limit, reason: &str) {
        self.sessions.cx.limit_acted(limit, self.address());
        self.refuse(Response::failed(FailureKind::Overloaded, reason))
            .await;
    }

    /// Sends the caller the reason why no session is opened, or why the session ends.
    pub(super) async fn refuse(&mut self, response: Response) {
        if let Err(failure) = response.end {
            // A failed write is ignored: the caller may have disconnected.
            let _ = self.write(&[Reply::Failed(failure)]).await;
        }
    }

    /// Waits for the next message.
    pub(super) async fn next_message(&mut self, patience: Patience) -> SessionEvent {
        let budget = &self.sessions.cx.memory;
        let received = self.intake.next(&mut self.stream, budget, patience).await;
        let (limit, response) = match received {
            Received::Message(message, memory) => return SessionEvent::Message(message, memory),
            Received::Closed => return SessionEvent::Closed,
            Received::Malformed(reason) => {
                let response = Response::failed(FailureKind::Malformed, &reason);
                return SessionEvent::InputRejected(response);
            }
            Received::OutOfMemory => (Limit::MessageMemory, Response::out_of_memory()),
            Received::TooSlow => (Limit::SlowMessage, Response::message_too_slow()),
        };
        self.sessions.cx.limit_acted(limit, self.address());
        SessionEvent::InputRejected(response)
    }

    /// Writes replies that are short together.
    async fn write(&mut self, replies: &[Reply]) -> Option<()> {
        let mut output = BytesMut::new();
        for reply in replies {
            self.sessions.protocol.encode(reply, &mut output);
        }
        let writing = self.stream.write_all(&output);
        let written = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
        written.ok()?.ok()
    }

    /// Sends the answer to a statement; `None` when the caller can't be reached.
    pub(super) async fn answer(
        &mut self,
        response: Response,
        state: TransactionState,
    ) -> Option<()> {
        let counters = &self.sessions.cx.counters;
        match response.end {
            Ok(_) => counters.served.add(),
            Err(_) => counters.failed.add(),
        }
        let replies = Replies::new(response, state);
        let bytes = replies.bytes();
        if bytes <= FREE_BYTES {
            let replies: Vec<Reply> = replies.collect();
            return self.write(&replies).await;
        }
        let unread = self.sessions.cx.memory.answers.add(bytes as u64);
        let writing = self.write_long(replies, unread);
        match tokio::time::timeout(WRITE_TIMEOUT, writing).await.ok()? {
            Ok(()) => Some(()),
            Err(Unwritten::Broken) => None,
            Err(Unwritten::OutOfMemory) => {
                let limit = Limit::UnreadAnswer;
                self.sessions.cx.limit_acted(limit, self.address());
                None
            }
        }
    }

    /// Writes replies part by part, so that only a part of them is encoded at the same time.
    async fn write_long(
        &mut self,
        mut replies: Replies,
        mut unread: UnreadAnswer,
    ) -> Result<(), Unwritten> {
        let mut output = BytesMut::new();
        loop {
            let reply = replies.next();
            if let Some(reply) = &reply {
                self.sessions.protocol.encode(reply, &mut output);
            }
            if output.len() < WRITE_CHUNK && reply.is_some() {
                continue;
            }
            while !output.is_empty() {
                tokio::select! {
                    written = self.stream.write_buf(&mut output) => {
                        written.map_err(|_| Unwritten::Broken)?;
                        unread.progressed();
                    }
                    () = unread.dropped() => return Err(Unwritten::OutOfMemory),
                }
            }
            if reply.is_none() {
                return Ok(());
            }
        }
    }
}

/// Why an answer wasn't written.
enum Unwritten {
    /// The connection broke.
    Broken,
    /// The memory was needed for other answers.
    OutOfMemory,
}

/// The replies that make up the answer to a statement.
struct Replies {
    rows: std::vec::IntoIter<Bytes>,
    end: Option<Reply>,
    ready: Option<Reply>,
}

impl Replies {
    fn new(response: Response, state: TransactionState) -> Self {
        let (rows, end) = match response.end {
            Ok(signature) => (response.rows, Reply::Complete(signature)),
            Err(failure) => (Vec::new(), Reply::Failed(failure)),
        };
        Self {
            rows: rows.into_iter(),
            end: Some(end),
            ready: Some(Reply::Ready {
                state,
                position: response.position,
            }),
        }
    }

    /// Bytes that the replies take until they are written.
    fn bytes(&self) -> usize {
        let rows = self.rows.as_slice().iter();
        let rows: usize = rows.map(|row| row.len() + ROW_BYTES).sum();
        let end = match &self.end {
            Some(Reply::Complete(signature)) => signature.len(),
            Some(Reply::Failed(failure)) => failure.message.len(),
            _ => 0,
        };
        rows + end
    }
}

impl Iterator for Replies {
    type Item = Reply;

    fn next(&mut self) -> Option<Reply> {
        let row = self.rows.next().map(Reply::Row);
        row.or_else(|| self.end.take())
            .or_else(|| self.ready.take())
    }
}
