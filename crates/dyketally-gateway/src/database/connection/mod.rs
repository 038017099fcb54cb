//! One connection to a database: sends commands and reads complete answers.

mod answer;
mod connector;
mod error;
mod reader;
mod rows;
mod session_state;
mod socket;

use std::collections::BTreeMap;

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::context::input::InputBuffer;
use crate::database::batch::{Batch, Flow, Reset, Step};
use crate::ports::{DatabaseCommand, DatabaseUser, Reply, SharedDatabaseProtocol};

pub use self::answer::{Answer, end_outside_transaction};
pub use self::connector::{Connector, Destination, Forwarding, Route};
pub use self::error::{Disconnected, OpenError};
use self::reader::AnswerReader;
use self::session_state::SessionState;
pub use self::socket::{is_open_without_input, prepare_socket};

/// An open connection to a database.
pub struct Connection {
    stream: TcpStream,
    protocol: SharedDatabaseProtocol,
    user: DatabaseUser,
    input: InputBuffer,
    session: SessionState,
    /// Number of commands without a complete answer, including those whose caller has stopped waiting.
    unanswered: usize,
    idle_since: Instant,
    opening_began: Instant,
}

impl Connection {
    async fn open(
        connector: &Connector,
        route: Route,
        to: Destination<'_>,
        user: DatabaseUser,
    ) -> Result<Self, OpenError> {
        let opening_began = Instant::now();
        let dialled = connector.dial(route, to).await;
        let stream = dialled.map_err(|error| OpenError::of_transport(&error))?;
        prepare_socket(&stream);
        let mut connection = Self {
            stream,
            protocol: connector.protocol.clone(),
            user: user.clone(),
            input: InputBuffer::default(),
            session: SessionState::default(),
            unanswered: 0,
            idle_since: Instant::now(),
            opening_began,
        };
        let open = DatabaseCommand::Open {
            group: to.group.clone(),
            user,
            expected: to.database.clone(),
        };
        connection.open_session(open).await?;
        Ok(connection)
    }

    async fn open_session(&mut self, open: DatabaseCommand) -> Result<(), OpenError> {
        let output = self.encode(&[open]);
        let written = self.stream.write_all(&output).await;
        written.map_err(|_| OpenError::Refused)?;
        let mut reader = AnswerReader {
            stream: &mut self.stream,
            input: &mut self.input,
            protocol: &self.protocol,
        };
        loop {
            match reader.reply().await {
                Ok(Reply::Ready { .. }) => return Ok(()),
                Ok(Reply::Failed(failure)) => return Err(OpenError::TurnedAway(failure)),
                Ok(_) => {}
                Err(_) => return Err(OpenError::Refused),
            }
        }
    }

    /// Runs a batch and returns one answer for each step. With [`Flow::UntilFailure`] the first step that fails is
    /// the last that is sent. The connection is first given the batch's session context.
    ///
    /// # Errors
    /// The connection broke, so that any of the steps may have run. Or an earlier command on the connection is still
    /// unanswered, for example because its caller stopped waiting; then nothing is sent, and the connection can't be
    /// used any more.
    pub async fn run(&mut self, batch: &Batch) -> Result<Vec<Answer>, Disconnected> {
        if self.unanswered > 0 {
            return Err(Disconnected::new(
                "it can't be used any more, since an earlier statement that was sent on it is still unanswered",
            ));
        }
        // `setup` gives the connection the session context; `name` is its name for the prepared statement.
        let (setup, name) = self.session.adopt(batch.context.as_ref());
        let answers = match batch.flow {
            Flow::Together => self.run_together(setup, &batch.steps, &name).await?,
            Flow::UntilFailure => self.run_sequentially(setup, &batch.steps, &name).await?,
        };
        let failed = answers.iter().any(|answer| answer.end.is_err());
        self.session.reset_if(match batch.reset {
            Reset::Never => false,
            Reset::AfterFailure => failed,
            Reset::Always => true,
        });
        Ok(answers)
    }

    /// Sends all `steps` at once, after the commands of `setup` that give the connection the session context. Returns
    /// the answers to the steps. `prepared` is the connection's name for the batch's prepared statement.
    async fn run_together(
        &mut self,
        setup: Vec<DatabaseCommand>,
        steps: &[Step],
        prepared: &str,
    ) -> Result<Vec<Answer>, Disconnected> {
        let setup_count = setup.len();
        let mut commands = setup;
        commands.extend(steps.iter().map(|step| step.command(prepared)));
        let mut answers = self.exchange(&commands).await?;
        self.session.check_adoption(&answers, setup_count);
        Ok(answers.split_off(setup_count))
    }

    /// Like [`Connection::run_together`], but sends each step only after the previous one has succeeded.
    async fn run_sequentially(
        &mut self,
        setup: Vec<DatabaseCommand>,
        steps: &[Step],
        prepared: &str,
    ) -> Result<Vec<Answer>, Disconnected> {
        let mut answers = Vec::with_capacity(steps.len());
        let mut setup = Some(setup);
        for step in steps {
            let setup = setup.take().unwrap_or_default();
            let step = std::slice::from_ref(step);
            answers.extend(self.run_together(setup, step, prepared).await?);
            if answers.last().is_some_and(|answer| answer.end.is_err()) {
                break;
            }
        }
        Ok(answers)
    }

    async fn exchange(
        &mut self,
        commands: &[DatabaseCommand],
    ) -> Result<Vec<Answer>, Disconnected> {
        self.unanswered += commands.len();
        let output = self.encode(commands);
        let (stream, mut writer) = self.stream.split();
        let mut reader = AnswerReader {
            stream,
            input: &mut self.input,
            protocol: &self.protocol,
        };
        let unanswered = &mut self.unanswered;
        let writing = async { writer.write_all(&output).await.map_err(Disconnected::new) };
        let reading = async {
            let mut answers = Vec::with_capacity(commands.len());
            for _ in commands {
                answers.push(reader.answer().await?);
                *unanswered -= 1;
            }
            Ok(answers)
        };
        // Answers are read while commands are written. Otherwise both sides would wait forever once the answers to the
        // first commands fill the buffers between them.
        let ((), answers) = tokio::try_join!(writing, reading)?;
        Ok(answers)
    }

    fn encode(&self, commands: &[DatabaseCommand]) -> BytesMut {
        let mut output = BytesMut::new();
        for command in commands {
            self.protocol.encode(command, &mut output);
        }
        output
    }

    /// Prepares the connection for being idle: frees memory that only the last session needed.
    pub fn rest(&mut self) {
        self.session.forget_if_long();
        self.idle_since = Instant::now();
    }

    /// When opening the connection began.
    pub fn opening_began(&self) -> Instant {
        self.opening_began
    }

    /// True when the other side has closed the connection.
    pub fn was_closed(&self) -> bool {
        socket::was_closed(&self.stream)
    }

    /// When the connection was last returned to its pool.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// The user as whom the connection was opened at the database.
    pub fn user(&self) -> &DatabaseUser {
        &self.user
    }

    /// True when the connection was closed, has unanswered commands, or received bytes without a command.
    pub fn is_stale(&self) -> bool {
        self.unanswered > 0 || !is_open_without_input(&self.stream) || !self.input.is_empty()
    }

    /// Relative cost of giving the connection the session settings `values`, without a unit: 0 if no command is
    /// needed, 1 if settings must be sent, 2 if the connection must be reset first.
    pub fn adoption_cost(&self, values: &BTreeMap<String, String>) -> u32 {
        self.session.adoption_cost(values)
    }
}
