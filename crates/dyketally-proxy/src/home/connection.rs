//! One connection to a database that runs batches, one at a time.

use bytes::BytesMut;
use dyketally::group::MemberStatus;
use dyketally_protocol::{StatementBatch, TransactionStatus};
use postgres_protocol::message::backend::{COMMAND_COMPLETE_TAG, Message};
use postgres_protocol::message::frontend;

use super::backend::{BackendError, BackendStream, CancelRequest, Frame, sqlstate};
use super::encode::{EncodeError, encode_batch};
use super::output::ReplyOutput;
use super::plan::{Disposition, ReplyPlan};
use super::statements::{STATEMENTS_PER_CONNECTION, StatementCache};
use super::status_reply::{StatusReader, StatusReply};

const COPY_REFUSAL: &str = "COPY FROM STDIN is not supported through dyketally; use INSERT";

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

/// How a batch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchEnd {
    /// The state of the connection's transaction.
    pub transaction: TransactionStatus,
    /// The SQLSTATE of the error that ended the batch, if one did.
    pub error: Option<String>,
}

/// A connection, logged in.
#[derive(Debug)]
pub struct Connection {
    stream: BackendStream,
    statements: StatementCache,
    plan: ReplyPlan,
    status_due: Option<StatusReader>,
    error: Option<String>,
    phase: Phase,
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
            phase: Phase::Ready(TransactionStatus::Idle),
            session_changed: false,
        }
    }

    /// True when another session may use the connection: the last reply is fully read, reported
    /// no transaction, and nothing came since.
    pub fn is_reusable(&mut self) -> bool {
        self.phase == Phase::Ready(TransactionStatus::Idle)
            && self.status_due.is_none()
            && !self.session_changed
            && self.stream.is_quiet()
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
        let mut encoded = BytesMut::new();
        self.plan = encode_batch(batch, &mut self.statements, &mut encoded)?;
        if let Some(statement) = status_statement {
            frontend::query(statement, &mut encoded)?;
            self.status_due = Some(StatusReader::default());
        }
        self.stream.outgoing.unsplit(encoded);
        Ok(())
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
        let Some(mut reader) = self.status_due.take() else {
            return Ok(StatusReply::NotAsked);
        };
        loop {
            let frame = self.stream.read_frame().await?;
            if let Some(reply) = reader.accept(frame)? {
                return Ok(reply);
            }
        }
    }

    /// Asks for the status on a connection whose batch has ended.
    pub async fn ask_status(
        &mut self,
        statement: &str,
    ) -> Result<Option<MemberStatus>, BackendError> {
        frontend::query(statement, &mut self.stream.outgoing)?;
        self.status_due = Some(StatusReader::default());
        self.stream.flush().await?;
        Ok(self.read_status().await?.status())
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
                self.phase = Phase::Ready(transaction);
                let error = self.error.take();
                return Ok(Some(BatchEnd { transaction, error }));
            }
        }
        Ok(None)
    }

    fn pass_on(&mut self, frame: Frame, output: &mut ReplyOutput) -> Result<(), BackendError> {
        output.push(frame.encoded());
        if frame.tag() == COMMAND_COMPLETE_TAG
            && let Message::CommandComplete(body) = frame.parse()?
        {
            let command = body.tag()?.split(' ').next().unwrap_or_default();
            self.session_changed |= COMMANDS_THAT_CHANGE_THE_SESSION.contains(&command);
        }
        Ok(())
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
