//! One connection to a database: commands out, whole answers in.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::statement::{Failure, FailureKind, PreparedStatement, TransactionState};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::database::batch::{Batch, Flow, Reset, SessionContext, Step};
use crate::fleet::relay;
use crate::ports::{DatabaseCommand, DatabaseUser, OwnStatement, Reply, SharedDatabaseProtocol};

/// Time after which the system gives up a connection whose peer acknowledges nothing.
pub const SILENT_PEER: Duration = Duration::from_millis(2_500);
/// Prepared statements that one connection keeps.
const PREPARED_AT_MOST: usize = 64;
const READ_CHUNK: usize = 4_096;

/// How a database is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// At its own address.
    Direct(SocketAddr),
    /// By way of the node that relays at this address.
    Relayed(SocketAddr),
}

/// Why a connection could not be opened.
#[derive(Clone, Debug, thiserror::Error)]
pub enum OpenError {
    /// Nothing listens there.
    #[error("the database refuses connections; check that it runs")]
    Refused,
    /// Nothing came back in time.
    #[error("the database doesn't answer; check that it can be reached")]
    Silent,
    /// The database turned the connection away.
    #[error("the database turned the connection away: {}", .0.message)]
    TurnedAway(Failure),
}

/// Why an exchange came to no end.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the connection broke: {reason}; the statement may have run")]
pub struct Broken {
    /// What the transport reported.
    pub reason: String,
}

impl Broken {
    /// A connection that broke for `reason`.
    pub fn new(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }

    /// An answer that counts for nothing, since its database was replaced meanwhile.
    pub fn replaced() -> Self {
        Self::new("another database has taken the lead")
    }
}

/// The whole answer to one command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The rows.
    pub rows: Vec<Bytes>,
    /// The signature, or why it failed.
    pub end: Result<Bytes, Failure>,
    /// The connection's state afterwards.
    pub state: TransactionState,
    /// The end of the database's log, if told.
    pub position: Option<LogPosition>,
}

impl Answer {
    /// True when the database said that it hasn't run the statement.
    pub fn was_rejected(&self) -> bool {
        matches!(&self.end, Err(failure) if failure.kind.not_run())
    }
}

/// True when no transaction is open behind `answers`.
pub fn leave_idle(answers: &[Answer]) -> bool {
    let last = answers.last();
    last.is_some_and(|answer| answer.state == TransactionState::Idle)
}

/// A connection that is open to a database.
pub struct Connection {
    stream: TcpStream,
    protocol: SharedDatabaseProtocol,
    user: DatabaseUser,
    input: BytesMut,
    values: BTreeMap<String, String>,
    prepared: HashMap<PreparedStatement, String>,
    must_reset: bool,
    /// Answers that the database owes. Whoever waited for them may have given up.
    owed: usize,
    /// When it was last given back.
    pub idle_since: Instant,
    /// When opening it began.
    opened: Instant,
}

impl Connection {
    /// Connects in the name of `user`, for good.
    ///
    /// # Errors
    /// The database can't be reached or turns the connection away.
    pub async fn open(
        protocol: SharedDatabaseProtocol,
        route: Route,
        group: &GroupName,
        database: &DatabaseName,
        user: DatabaseUser,
        limit: Duration,
    ) -> Result<Self, OpenError> {
        let opening = Self::introduce(protocol, route, group, database, user);
        match tokio::time::timeout(limit, opening).await {
            Ok(result) => result,
            Err(_) => Err(OpenError::Silent),
        }
    }

    async fn introduce(
        protocol: SharedDatabaseProtocol,
        route: Route,
        group: &GroupName,
        database: &DatabaseName,
        user: DatabaseUser,
    ) -> Result<Self, OpenError> {
        let opened = Instant::now();
        let connecting = match route {
            Route::Direct(address) => TcpStream::connect(address).await,
            Route::Relayed(relay) => relay::connect(relay, database).await,
        };
        let stream = connecting.map_err(open_error)?;
        prepare_socket(&stream);
        let mut connection = Self {
            stream,
            protocol,
            user: user.clone(),
            input: BytesMut::new(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            must_reset: false,
            owed: 0,
            idle_since: Instant::now(),
            opened,
        };
        let open = DatabaseCommand::Open {
            group: group.clone(),
            user,
            expected: database.clone(),
        };
        connection
            .send(&[open])
            .await
            .map_err(|_| OpenError::Refused)?;
        loop {
            match connection.next_reply().await {
                Ok(Reply::Ready { .. }) => return Ok(connection),
                Ok(Reply::Failed(failure)) => return Err(OpenError::TurnedAway(failure)),
                Ok(_) => {}
                Err(_) => return Err(OpenError::Refused),
            }
        }
    }

    /// Runs a batch: one answer to each step, up to the first that failed where the batch says so.
    ///
    /// # Errors
    /// The connection broke, and any of the steps may have run; or it owes answers to statements that
    /// were given up, and can't be used any more.
    pub async fn run(&mut self, batch: &Batch) -> Result<Vec<Answer>, Broken> {
        if self.owed > 0 {
            return Err(Broken::new("an earlier answer is still owed"));
        }
        let (adoption, name) = self.adopt(batch.context.as_ref());
        let answers = match batch.flow {
            Flow::Together => self.run_together(adoption, &batch.steps, &name).await?,
            Flow::UntilFailure => self.run_in_turn(adoption, &batch.steps, &name).await?,
        };
        let failed = answers.iter().any(|answer| answer.end.is_err());
        self.must_reset |= match batch.reset {
            Reset::Never => false,
            Reset::AfterFailure => failed,
            Reset::Always => true,
        };
        Ok(answers)
    }

    async fn run_together(
        &mut self,
        adoption: Vec<DatabaseCommand>,
        steps: &[Step],
        name: &str,
    ) -> Result<Vec<Answer>, Broken> {
        let adopted = adoption.len();
        let mut commands = adoption;
        commands.extend(steps.iter().map(|step| step.command(name)));
        let mut answers = self.exchange(&commands).await?;
        self.check_adoption(&answers, adopted);
        Ok(answers.split_off(adopted))
    }

    async fn run_in_turn(
        &mut self,
        adoption: Vec<DatabaseCommand>,
        steps: &[Step],
        name: &str,
    ) -> Result<Vec<Answer>, Broken> {
        let mut answers = Vec::with_capacity(steps.len());
        let mut adoption = Some(adoption);
        for step in steps {
            let adoption = adoption.take().unwrap_or_default();
            let step = std::slice::from_ref(step);
            answers.extend(self.run_together(adoption, step, name).await?);
            if answers.last().is_some_and(|answer| answer.end.is_err()) {
                break;
            }
        }
        Ok(answers)
    }

    async fn exchange(&mut self, commands: &[DatabaseCommand]) -> Result<Vec<Answer>, Broken> {
        self.owed += commands.len();
        self.send(commands).await.map_err(Broken::new)?;
        let mut answers = Vec::with_capacity(commands.len());
        for _ in commands {
            answers.push(self.answer().await?);
            self.owed -= 1;
        }
        Ok(answers)
    }

    async fn send(&mut self, commands: &[DatabaseCommand]) -> io::Result<()> {
        let mut output = BytesMut::new();
        for command in commands {
            self.protocol.encode(command, &mut output);
        }
        self.stream.write_all(&output).await
    }

    async fn answer(&mut self) -> Result<Answer, Broken> {
        let mut rows = Vec::new();
        let mut end = Err(Failure {
            kind: FailureKind::Other,
            message: "the database gave no result".to_owned(),
        });
        loop {
            match self.next_reply().await? {
                Reply::Row(row) => rows.push(row),
                Reply::Complete(signature) => end = Ok(signature),
                Reply::Failed(failure) => end = Err(failure),
                Reply::Ready { state, position } => {
                    return Ok(Answer {
                        rows,
                        end,
                        state,
                        position,
                    });
                }
            }
        }
    }

    async fn next_reply(&mut self) -> Result<Reply, Broken> {
        loop {
            let decoded = self.protocol.decode(&mut self.input);
            if let Some(reply) = decoded.map_err(Broken::new)? {
                return Ok(reply);
            }
            self.input.reserve(READ_CHUNK);
            let read = self.stream.read_buf(&mut self.input).await;
            if read.map_err(Broken::new)? == 0 {
                return Err(Broken::new("closed by the database"));
            }
        }
    }

    /// When opening it began.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// True when the database closed it.
    pub fn was_closed(&self) -> bool {
        let mut byte = [0_u8; 1];
        let read = self.stream.try_read(&mut byte);
        match read {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// In whose name it is open.
    pub fn user(&self) -> &DatabaseUser {
        &self.user
    }

    /// True when the connection was closed, owes answers, or has bytes that nobody asked for.
    pub fn is_stale(&self) -> bool {
        self.owed > 0 || !is_quiet(&self.stream) || !self.input.is_empty()
    }

    /// How much has to be sent before a session with `values` can use it: 0 for nothing.
    pub fn distance(&self, values: &BTreeMap<String, String>) -> u32 {
        if self.must_reset || !self.extends_to(values) {
            return 2;
        }
        u32::from(&self.values != values)
    }

    fn extends_to(&self, values: &BTreeMap<String, String>) -> bool {
        self.values.keys().all(|name| values.contains_key(name))
    }

    /// The commands that bring the connection to `context`, which must be sent before anything
    /// else, and its name for the prepared statement.
    fn adopt(&mut self, context: Option<&SessionContext>) -> (Vec<DatabaseCommand>, String) {
        let mut commands = Vec::new();
        let Some(SessionContext { values, prepared }) = context else {
            return (commands, String::new());
        };
        let full = self.prepared.len() >= PREPARED_AT_MOST;
        if self.must_reset || full || !self.extends_to(values) {
            commands.push(DatabaseCommand::Own(OwnStatement::Reset));
            self.values.clear();
            self.prepared.clear();
            self.must_reset = false;
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                commands.push(DatabaseCommand::Own(OwnStatement::Set {
                    name: name.clone(),
                    value: value.clone(),
                }));
                self.values.insert(name.clone(), value.clone());
            }
        }
        let name = prepared.as_ref();
        let name = name.map(|prepared| self.prepare(prepared, &mut commands));
        (commands, name.unwrap_or_default())
    }

    fn prepare(
        &mut self,
        prepared: &PreparedStatement,
        commands: &mut Vec<DatabaseCommand>,
    ) -> String {
        if let Some(name) = self.prepared.get(prepared) {
            return name.clone();
        }
        let name = format!("p{}", self.prepared.len());
        commands.push(DatabaseCommand::Own(OwnStatement::Prepare {
            name: name.clone(),
            prepared: prepared.clone(),
        }));
        self.prepared.insert(prepared.clone(), name.clone());
        name
    }

    /// Checks the answers to `adopted` commands of [`Connection::adopt`] and the statements behind
    /// them: a connection that isn't as was believed is reset before its next use.
    fn check_adoption(&mut self, answers: &[Answer], adopted: usize) {
        let (adoption, steps) = answers.split_at(adopted.min(answers.len()));
        let failed = adoption.iter().any(|answer| answer.end.is_err());
        let unknown = steps.iter().any(|answer| {
            matches!(&answer.end, Err(failure) if failure.kind == FailureKind::UnknownPrepared)
        });
        self.must_reset |= failed || unknown;
    }
}

/// Makes `stream` send at once, and the system give it up when its peer acknowledges nothing for
/// [`SILENT_PEER`].
pub fn prepare_socket(stream: &TcpStream) {
    // Both are improvements only: a socket that refuses them still works.
    let _ = stream.set_nodelay(true);
    let limit = SILENT_PEER.as_millis() as u32;
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, limit);
}

/// True while `stream` is open and nothing came that wasn't read.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let read = stream.try_read(&mut byte);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

fn open_error(error: io::Error) -> OpenError {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => OpenError::Silent,
        _ => OpenError::Refused,
    }
}
