//! A raw connection to a database: startup, and backend messages as frames.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use dyketally_protocol::LONGEST_FRAME;
use postgres_protocol::message::backend::{ErrorResponseBody, Header, Message};
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Longest backend message that is passed on, in bytes: with its envelope it must fit one frame
/// of the link to the edge.
pub const LONGEST_MESSAGE: usize = LONGEST_FRAME - 1024;

const SQLSTATE_FIELD: u8 = b'C';
const MESSAGE_FIELD: u8 = b'M';
const TAG_BYTES: usize = 1;

/// How the home logs in to databases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendLogin {
    /// The user.
    pub user: String,
    /// The database name within the server.
    pub database: String,
}

/// Why a connection failed.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The connection failed or was closed.
    #[error("the connection to the database failed ({0}); check its address and that it runs")]
    Io(#[from] io::Error),
    /// The database refused the login.
    #[error(
        "the database refused the connection with {sqlstate} ({message}); check its connection limit and the login"
    )]
    Refused {
        /// The SQLSTATE of the refusal.
        sqlstate: String,
        /// The database's message.
        message: String,
    },
    /// The database didn't answer in time.
    #[error("the database did not answer within {0:?}; check that it runs and can be reached")]
    TimedOut(Duration),
    /// The database asks for something that isn't supported.
    #[error("the database asks for {0}; allow trust authentication for the proxy's user")]
    Unsupported(&'static str),
    /// A message is too long to be passed on.
    #[error(
        "a message of {0} bytes exceeds the bound of {LONGEST_MESSAGE}; read fewer bytes a row"
    )]
    TooLong(usize),
    /// The database sent a message that answers nothing.
    #[error(transparent)]
    Unexpected(#[from] super::plan::UnexpectedMessage),
}

/// What identifies a running connection in a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The server's process.
    pub process_id: i32,
    /// The secret that allows to cancel it.
    pub secret_key: i32,
}

/// One whole backend message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(BytesMut);

impl Frame {
    /// The tag of the message.
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// The first byte behind tag and length.
    pub fn first_body_byte(&self) -> Option<u8> {
        self.0.get(TAG_BYTES + size_of::<i32>()).copied()
    }

    /// The message as it was received.
    pub fn encoded(&self) -> &[u8] {
        &self.0
    }

    /// The message in parsed form.
    pub fn parse(mut self) -> io::Result<Message> {
        Message::parse(&mut self.0)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// A connection to a database that is logged in.
#[derive(Debug)]
pub struct BackendStream {
    socket: TcpStream,
    incoming: BytesMut,
    /// Messages to send with the next `flush`.
    pub outgoing: BytesMut,
    cancel_key: Option<CancelKey>,
    address: SocketAddr,
}

impl BackendStream {
    /// Connects and logs in within `limit`.
    pub async fn connect(
        address: SocketAddr,
        login: &BackendLogin,
        limit: Duration,
    ) -> Result<Self, BackendError> {
        timeout(limit, Self::connect_unbounded(address, login))
            .await
            .map_err(|_| BackendError::TimedOut(limit))?
    }

    async fn connect_unbounded(
        address: SocketAddr,
        login: &BackendLogin,
    ) -> Result<Self, BackendError> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let mut stream = Self {
            socket,
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            cancel_key: None,
            address,
        };
        stream.log_in(login).await?;
        Ok(stream)
    }

    async fn log_in(&mut self, login: &BackendLogin) -> Result<(), BackendError> {
        let parameters = [
            ("user", login.user.as_str()),
            ("database", login.database.as_str()),
            ("client_encoding", "UTF8"),
            ("application_name", "dyketally"),
        ];
        frontend::startup_message(parameters, &mut self.outgoing)?;
        self.flush().await?;
        loop {
            match self.read_frame().await?.parse()? {
                Message::ReadyForQuery(_) => return Ok(()),
                Message::ErrorResponse(body) => return Err(refusal(&body)),
                Message::BackendKeyData(body) => {
                    self.cancel_key = Some(CancelKey {
                        process_id: body.process_id(),
                        secret_key: body.secret_key(),
                    });
                }
                Message::AuthenticationOk
                | Message::ParameterStatus(_)
                | Message::NoticeResponse(_) => {}
                _ => {
                    return Err(BackendError::Unsupported(
                        "a password or an unknown login step",
                    ));
                }
            }
        }
    }

    /// Sends the outgoing messages.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.socket.write_all(&self.outgoing).await?;
        self.outgoing.clear();
        Ok(())
    }

    /// The next message if it was received already.
    pub fn buffered_frame(&mut self) -> Result<Option<Frame>, BackendError> {
        let Some(header) = Header::parse(&self.incoming)? else {
            return Ok(None);
        };
        let length = TAG_BYTES + header.len() as usize;
        if length > LONGEST_MESSAGE {
            return Err(BackendError::TooLong(length));
        }
        if self.incoming.len() < length {
            self.incoming.reserve(length - self.incoming.len());
            return Ok(None);
        }
        Ok(Some(Frame(self.incoming.split_to(length))))
    }

    /// Waits for more bytes of the database. Safe to drop.
    pub async fn receive(&mut self) -> io::Result<()> {
        self.incoming.reserve(READ_BUFFER_BYTES);
        match self.socket.read_buf(&mut self.incoming).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// The next message. Safe to drop.
    pub async fn read_frame(&mut self) -> Result<Frame, BackendError> {
        loop {
            if let Some(frame) = self.buffered_frame()? {
                return Ok(frame);
            }
            self.receive().await?;
        }
    }

    /// True while nothing was received and the database hasn't closed the connection: what a
    /// connection must show before it is used again.
    pub fn is_quiet(&mut self) -> bool {
        if self.incoming.has_remaining() {
            return false;
        }
        let mut byte = [0; 1];
        let received = self.socket.try_read(&mut byte);
        matches!(received, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Where the database accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What cancels the statement that runs on this connection.
    pub fn cancel_request(&self) -> Option<CancelRequest> {
        self.cancel_key.map(|key| CancelRequest {
            address: self.address,
            key,
        })
    }
}

/// Asks a database to stop the statement that runs on one of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelRequest {
    address: SocketAddr,
    key: CancelKey,
}

impl CancelRequest {
    /// Sends the request on a connection of its own. A statement that has ended isn't affected.
    pub async fn send(self) -> io::Result<()> {
        let mut message = BytesMut::new();
        frontend::cancel_request(self.key.process_id, self.key.secret_key, &mut message);
        let mut socket = TcpStream::connect(self.address).await?;
        socket.write_all(&message).await?;
        socket.shutdown().await
    }
}

/// The SQLSTATE of an error; `None` when it has none, which callers treat as an unknown class.
pub fn sqlstate(body: &ErrorResponseBody) -> Option<String> {
    error_field(body, SQLSTATE_FIELD)
}

fn refusal(body: &ErrorResponseBody) -> BackendError {
    BackendError::Refused {
        sqlstate: sqlstate(body).unwrap_or_default(),
        message: error_field(body, MESSAGE_FIELD).unwrap_or_default(),
    }
}

fn error_field(body: &ErrorResponseBody, kind: u8) -> Option<String> {
    use fallible_iterator::FallibleIterator;
    let mut fields = body.fields();
    while let Ok(Some(field)) = fields.next() {
        if field.type_() == kind {
            return Some(String::from_utf8_lossy(field.value_bytes()).into_owned());
        }
    }
    None
}
