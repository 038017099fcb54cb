//! One connection to a database that runs batches, one at a time.

use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use dyketally_protocol::{StatementBatch, TransactionStatus};
use postgres_protocol::message::backend::{COMMAND_COMPLETE_TAG, Message};
use postgres_protocol::message::frontend;

use super::backend::{BackendError, BackendStream, CancelRequest, Frame, sqlstate};
use super::command::{CommandReader, CommandReply};
use super::encode::{EncodeError, encode_batch};
use super::output::ReplyOutput;
use super::plan::{Disposition, ReplyPlan};
use super::statements::{STATEMENTS_PER_CONNECTION, StatementCache};
use super::status_reply::{StatusReader, StatusReply};

const COPY_REFUSAL: &str = "COPY FROM STDIN is not supported through dyketally; use INSERT";

const ROLLBACK: &str = "ROLLBACK";

/// Commands that leave something on the connection which its next user must not find.
const COMMANDS_THAT_CHANGE_THE_SESSION: [&str; 8] = [
    "SET",
    "RESET",
    "DISCARD",
    "DEALLOCATE",
    "PREPARE",
    "LISTEN",
    "UNLISTEN",
    "LOAD",
];

/// SQLSTATE classes of errors that say that nothing was done without telling of any row:
/// invalid input, invalid transaction state, rollback, syntax or access, limits, intervention.
const CLASSES_WITHOUT_EFFECT: [&str; 8] = ["0A", "22", "25", "40", "42", "53", "54", "57"];
/// The exception among them: it can't be told whether the statement completed.
const STATEMENT_COMPLETION_UNKNOWN: &str = "40003";

/// How a batch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchEnd {
    /// The state of the connection's transaction.
    pub transaction: TransactionStatus,
    /// The SQLSTATE of the error that ended the batch, if one did.
    pub error: Option<String>,
    /// Whether the batch certainly committed nothing, and its reply tells of no row.
    pub without_effect: bool,
}

/// A connection, logged in.
#[derive(Debug)]
pub struct Connection {
    stream: BackendStream,
    statements: StatementCache,
    plan: ReplyPlan,
    status_due: Option<StatusReader>,
    error: Option<String>,
    commands: u32,
    rollbacks: u32,
    phase: Phase,
    /// Batches and commands whose replies aren't fully read.
    replies_due: u32,
    session_changed: bool,
}

/// What the connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// All replies are read; the database reported this state.
    Ready(TransactionStatus),
    /// A batch may be partly sent.
    Sending,
    /// A batch was sent; its reply isn't fully read.
    Replying,
}

impl Connection {
    /// Takes a connection that has just logged in.
    pub fn new(stream: BackendStream) -> Self {
        Self {
            stream,
            statements: StatementCache::new(STATEMENTS_PER_CONNECTION),
            plan: ReplyPlan::default(),
            status_due: None,
            error: None,
            commands: 0,
            rollbacks: 0,
            phase: Phase::Ready(TransactionStatus::Idle),
            replies_due: 0,
            session_changed: false,
        }
    }

    /// True when another session may use the connection: the last reply is fully read, reported
    /// no transaction, and nothing came since.
    pub fn is_reusable(&mut self) -> bool {
        self.phase == Phase::Ready(TransactionStatus::Idle)
            && self.replies_due == 0
            && self.status_due.is_none()
            && !self.session_changed
            && self.stream.is_quiet()
    }

    /// Where the database accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.stream.address()
    }

    /// Keeps the connection from being used by another session.
    pub fn spoil(&mut self) {
        self.session_changed = true;
    }

    /// What cancels the running statement.
    pub fn cancel_request(&self) -> Option<CancelRequest> {
        self.stream.cancel_request()
    }

    /// Prepares `batch` for sending, with the status statement right behind it if one is given.
    /// Nothing is sent before `send`.
    pub fn prepare(
        &mut self,
        batch: &StatementBatch,
        status_statement: Option<&str>,
    ) -> Result<(), EncodeError> {
        self.error = None;
        self.commands = 0;
        self.rollbacks = 0;
        let mut encoded = BytesMut::new();
        self.plan = encode_batch(batch, &mut self.statements, &mut encoded)?;
        self.stream.outgoing.unsplit(encoded);
        self.replies_due += 1;
        if let Some(statement) = status_statement {
            self.queue_status(statement)?;
        }
        Ok(())
    }

    /// Adds a statement of the home's own to what is sent next.
    pub fn queue_command(&mut self, text: &str) -> Result<(), BackendError> {
        frontend::query(text, &mut self.stream.outgoing)?;
        self.replies_due += 1;
        Ok(())
    }

    /// Adds the status statement to what is sent next. Its answer is read last.
    pub fn queue_status(&mut self, statement: &str) -> io::Result<()> {
        frontend::query(statement, &mut self.stream.outgoing)?;
        self.status_due = Some(StatusReader::default());
        Ok(())
    }

    /// Reads the reply to the next statement of the home's own.
    pub async fn read_command(&mut self) -> Result<CommandReply, BackendError> {
        let mut reader = CommandReader::default();
        loop {
            let frame = self.stream.read_frame().await?;
            if let Some(transaction) = reader.accept(frame)? {
                self.replied(transaction);
                return Ok(reader.into_reply());
            }
        }
    }

    /// Sends what was prepared.
    pub async fn send(&mut self) -> Result<(), BackendError> {
        self.phase = Phase::Sending;
        self.stream.flush().await?;
        self.phase = Phase::Replying;
        Ok(())
    }

    /// Reads the reply to the batch into `output`. May be dropped and called again.
    pub async fn read_reply(&mut self, output: &mut ReplyOutput) -> Result<BatchEnd, BackendError> {
        loop {
            while let Some(frame) = self.stream.buffered_frame()? {
                if let Some(end) = self.accept(frame, output).await? {
                    return Ok(end);
                }
                if output.is_full() {
                    output.relay().await;
                }
            }
            output.relay().await;
            self.stream.receive().await?;
        }
    }

    /// Reads the answer to the status statement that was sent behind the batch.
    pub async fn read_status(&mut self) -> Result<StatusReply, BackendError> {
        while let Some(reader) = &mut self.status_due {
            let frame = self.stream.read_frame().await?;
            if let Some(reply) = reader.accept(frame)? {
                self.status_due = None;
                return Ok(reply);
            }
        }
        Ok(StatusReply::NotAsked)
    }

    /// Asks for the status on a connection whose batch has ended.
    pub async fn ask_status(&mut self, statement: &str) -> Result<StatusReply, BackendError> {
        self.queue_status(statement)?;
        self.stream.flush().await?;
        self.read_status().await
    }

    /// Reads what is left of the reply and forgets it.
    pub async fn discard_reply(&mut self) -> Result<(), BackendError> {
        while self.phase == Phase::Replying {
            let frame = self.stream.read_frame().await?;
            while self.plan.made_up().is_some() {}
            let disposition = self.plan.accept(frame.tag(), frame.first_body_byte())?;
            if let Disposition::Ended(transaction) = disposition {
                self.replied(transaction);
            }
        }
        Ok(())
    }

    fn replied(&mut self, transaction: TransactionStatus) {
        self.replies_due -= 1;
        if self.replies_due == 0 {
            self.phase = Phase::Ready(transaction);
        }
    }

    async fn accept(
        &mut self,
        frame: Frame,
        output: &mut ReplyOutput,
    ) -> Result<Option<BatchEnd>, BackendError> {
        while let Some(message) = self.plan.made_up() {
            output.push(message);
        }
        let disposition = self.plan.accept(frame.tag(), frame.first_body_byte())?;
        match disposition {
            Disposition::PassOn => self.pass_on(frame, output)?,
            Disposition::PassOnError => self.pass_on_error(frame, output)?,
            Disposition::Drop => {}
            Disposition::Prepared {
                statement,
                passed_on,
            } => {
                self.statements.insert(statement);
                if passed_on {
                    output.push(frame.encoded());
                }
            }
            Disposition::RefuseCopy => {
                frontend::copy_fail(COPY_REFUSAL, &mut self.stream.outgoing)?;
                self.stream.flush().await?;
            }
            Disposition::Ended(transaction) => {
                self.replied(transaction);
                return Ok(Some(self.batch_end(transaction)));
            }
        }
        Ok(None)
    }

    fn pass_on(&mut self, frame: Frame, output: &mut ReplyOutput) -> Result<(), BackendError> {
        output.push(frame.encoded());
        if frame.tag() == COMMAND_COMPLETE_TAG
            && let Message::CommandComplete(body) = frame.parse()?
        {
            self.note_command(body.tag()?);
        }
        Ok(())
    }

    fn note_command(&mut self, tag: &str) {
        let command = tag.split(' ').next().unwrap_or_default();
        self.session_changed |= COMMANDS_THAT_CHANGE_THE_SESSION.contains(&command);
        self.commands += 1;
        self.rollbacks += u32::from(command == ROLLBACK);
    }

    fn batch_end(&mut self, transaction: TransactionStatus) -> BatchEnd {
        let error = self.error.take();
        let without_effect = match &error {
            Some(sqlstate) => self.commands == 0 && refuses_without_effect(sqlstate),
            None => self.commands > 0 && self.commands == self.rollbacks,
        };
        BatchEnd {
            transaction,
            error,
            without_effect,
        }
    }

    fn pass_on_error(
        &mut self,
        frame: Frame,
        output: &mut ReplyOutput,
    ) -> Result<(), BackendError> {
        output.push(frame.encoded());
        if let Message::ErrorResponse(body) = frame.parse()? {
            self.error = sqlstate(&body);
        }
        Ok(())
    }
}

fn refuses_without_effect(sqlstate: &str) -> bool {
    let class = sqlstate.get(..2).unwrap_or_default();
    CLASSES_WITHOUT_EFFECT.contains(&class) && sqlstate != STATEMENT_COMPLETION_UNKNOWN
}
