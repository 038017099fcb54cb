//! What the edge itself writes to a caller: errors, outcomes and the end of a batch.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::session::SessionToken;
use dyketally_protocol::TransactionStatus;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus as WireStatus,
};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{Message, PgWireBackendMessage};

/// The parameter that carries the session token, both ways.
pub const SESSION_PARAMETER: &str = "dyketally.session";

/// Object id of the type `text`.
const TEXT_TYPE: u32 = 25;
/// Length of a type whose values differ in length.
const VARIABLE_LENGTH: i16 = -1;
/// Type modifier of a plain type.
const NO_MODIFIER: i32 = -1;
/// Format code of values in text form.
const TEXT_FORMAT: i16 = 0;

/// SQLSTATE classes that the edge answers with.
pub mod sqlstate {
    /// It can't be told whether the statement was run.
    pub const OUTCOME_UNKNOWN: &str = "08007";
    /// The statement was not run; the detail says when to come back.
    pub const NOT_RUN: &str = "57P03";
    /// The transaction was rolled back and may be tried again as a whole.
    pub const TRANSACTION_ROLLED_BACK: &str = "40001";
    /// Unknown tenant or database.
    pub const INVALID_AUTHORIZATION: &str = "28000";
    /// The feature isn't there.
    pub const NOT_SUPPORTED: &str = "0A000";
    /// A message that breaks the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A value that can't be read.
    pub const INVALID_VALUE: &str = "22023";
    /// A prepared statement that doesn't exist.
    pub const UNDEFINED_STATEMENT: &str = "26000";
    /// Too many callers.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
}

/// An error as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerFault {
    /// Five characters of SQLSTATE.
    pub code: &'static str,
    /// What went wrong, with the remedy.
    pub message: String,
    /// More, for machines: `retry after <n> ms`.
    pub detail: Option<String>,
}

impl CallerFault {
    /// An error without detail.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            detail: None,
        }
    }

    /// The statement was not run.
    pub fn not_run(reason: NotRunReason, retry_after: Option<Duration>) -> Self {
        Self {
            code: sqlstate::NOT_RUN,
            message: format!("not run: {reason}"),
            detail: retry_after.map(|time| format!("retry after {} ms", time.as_millis().max(1))),
        }
    }

    /// It can't be told whether the statement was run.
    pub fn unknown(reason: UnknownReason) -> Self {
        Self::new(
            sqlstate::OUTCOME_UNKNOWN,
            format!("outcome unknown: {reason}"),
        )
    }

    /// The transaction is gone with all it did.
    pub fn rolled_back() -> Self {
        Self::new(
            sqlstate::TRANSACTION_ROLLED_BACK,
            "the transaction was rolled back because its connection is gone; run it again from its start",
        )
    }

    fn into_message(self, severity: &str) -> PgWireBackendMessage {
        let mut fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.code.to_owned()),
            (b'M', self.message),
        ];
        fields.extend(self.detail.map(|detail| (b'D', detail)));
        PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
    }
}

/// Bytes on their way to a caller.
#[derive(Debug, Default)]
pub struct AnswerBuffer {
    bytes: BytesMut,
}

impl AnswerBuffer {
    /// Appends a message.
    pub fn message(&mut self, message: PgWireBackendMessage) {
        message
            .encode(&mut self.bytes)
            .expect("messages that the edge makes itself are within the protocol's bounds");
    }

    /// Appends messages that a home encoded.
    pub fn encoded(&mut self, messages: &[u8]) {
        self.bytes.put_slice(messages);
    }

    /// Appends an error that ends a batch.
    pub fn error(&mut self, fault: CallerFault) {
        self.message(fault.into_message("ERROR"));
    }

    /// Appends an error that ends the connection.
    pub fn fatal(&mut self, fault: CallerFault) {
        self.message(fault.into_message("FATAL"));
    }

    /// Appends a parameter's value.
    pub fn parameter(&mut self, name: &str, value: &str) {
        let parameter = ParameterStatus::new(name.to_owned(), value.to_owned());
        self.message(PgWireBackendMessage::ParameterStatus(parameter));
    }

    /// Appends the session's token.
    pub fn session_token(&mut self, token: &SessionToken) {
        self.parameter(SESSION_PARAMETER, &token.to_string());
    }

    /// Appends the tag of a command that the edge ran itself.
    pub fn command_complete(&mut self, tag: &str) {
        let message = CommandComplete::new(tag.to_owned());
        self.message(PgWireBackendMessage::CommandComplete(message));
    }

    /// Appends the one row that shows the session's token.
    pub fn session_row(&mut self, token: &str) {
        let field = FieldDescription::new(
            SESSION_PARAMETER.to_owned(),
            0,
            0,
            TEXT_TYPE,
            VARIABLE_LENGTH,
            NO_MODIFIER,
            TEXT_FORMAT,
        );
        self.message(PgWireBackendMessage::RowDescription(RowDescription::new(
            vec![field],
        )));
        let mut value = BytesMut::with_capacity(token.len() + 4);
        value.put_i32(token.len() as i32);
        value.put_slice(token.as_bytes());
        self.message(PgWireBackendMessage::DataRow(DataRow::new(value, 1)));
    }

    /// Appends the end of a batch.
    pub fn ready(&mut self, status: TransactionStatus) {
        let status = match status {
            TransactionStatus::Idle => WireStatus::Idle,
            TransactionStatus::Open => WireStatus::Transaction,
            TransactionStatus::Failed => WireStatus::Error,
        };
        ReadyForQuery::new(status)
            .encode(&mut self.bytes)
            .expect("a message of fixed length always encodes");
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> &[u8] {
        &self.bytes
    }

    /// Forgets what was written.
    pub fn clear(&mut self) {
        self.bytes.clear();
        if self.bytes.capacity() > LARGEST_KEPT_BUFFER {
            self.bytes = BytesMut::new();
        }
    }
}

/// A buffer larger than this, in bytes, is given back after use: most sessions are idle.
const LARGEST_KEPT_BUFFER: usize = 16 * 1024;
