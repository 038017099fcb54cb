//! The reply to a simple statement of the home's own.

use bytes::Bytes;
use dyketally_protocol::TransactionStatus;
use postgres_protocol::message::backend::{DataRowBody, Message};

use super::backend::{BackendError, Frame, sqlstate};

/// A database's error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandError {
    /// Its SQLSTATE.
    pub sqlstate: String,
    /// The message as the database sent it.
    pub encoded: Bytes,
}

/// How a statement ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandReply {
    /// The error, if it failed.
    pub error: Option<CommandError>,
    /// The tag of its completion.
    pub tag: Option<String>,
    /// The first column of its first row.
    pub value: Option<String>,
}

/// Reads the messages that answer one statement.
#[derive(Debug, Default)]
pub struct CommandReader {
    reply: CommandReply,
}

impl CommandReader {
    /// Takes the next message; the state of the transaction once the reply is complete.
    pub fn accept(&mut self, frame: Frame) -> Result<Option<TransactionStatus>, BackendError> {
        let encoded = Bytes::copy_from_slice(frame.encoded());
        match frame.parse()? {
            Message::ErrorResponse(body) => {
                let sqlstate = sqlstate(&body).unwrap_or_default();
                self.reply.error = Some(CommandError { sqlstate, encoded });
            }
            Message::CommandComplete(body) => self.reply.tag = Some(body.tag()?.to_owned()),
            Message::DataRow(row) if self.reply.value.is_none() => {
                self.reply.value = first_column(&row);
            }
            Message::ReadyForQuery(body) => return Ok(transaction_status(body.status())),
            _ => {}
        }
        Ok(None)
    }

    /// The reply.
    pub fn into_reply(self) -> CommandReply {
        self.reply
    }
}

fn first_column(row: &DataRowBody) -> Option<String> {
    use fallible_iterator::FallibleIterator;
    let range = row.ranges().next().ok()???;
    let text = std::str::from_utf8(row.buffer().get(range)?).ok()?;
    Some(text.to_owned())
}

fn transaction_status(state: u8) -> Option<TransactionStatus> {
    match state {
        b'I' => Some(TransactionStatus::Idle),
        b'T' => Some(TransactionStatus::Open),
        _ => Some(TransactionStatus::Failed),
    }
}
