//! The answer to the status statement.

use std::str::FromStr;

use dyketally::group::{LogPosition, MemberStatus, Role, Term};
use postgres_protocol::message::backend::{DataRowBody, Message};

use super::backend::{BackendError, Frame, sqlstate};

const STATUS_COLUMNS: usize = 4;
const PRIMARY: &str = "primary";
const REPLICA: &str = "replica";

/// What became of a status statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusReply {
    /// None was sent.
    NotAsked,
    /// The database's status.
    Status(MemberStatus),
    /// The database answered with an error.
    Failed {
        /// The SQLSTATE of the error.
        sqlstate: String,
    },
    /// The database answered with something other than one row of four text columns.
    Malformed,
}

impl StatusReply {
    /// The status, if the database told it.
    pub fn status(&self) -> Option<MemberStatus> {
        match self {
            Self::Status(status) => Some(*status),
            _ => None,
        }
    }
}

/// Reads the messages that answer one status statement.
#[derive(Debug, Default)]
pub struct StatusReader {
    reply: Option<StatusReply>,
}

impl StatusReader {
    /// Takes the next message; the reply once it is complete.
    pub fn accept(&mut self, frame: Frame) -> Result<Option<StatusReply>, BackendError> {
        match frame.parse()? {
            Message::DataRow(row) => self.reply = Some(read_row(&row)),
            Message::ErrorResponse(body) => {
                let sqlstate = sqlstate(&body).unwrap_or_default();
                self.reply = Some(StatusReply::Failed { sqlstate });
            }
            Message::ReadyForQuery(_) => {
                return Ok(Some(self.reply.take().unwrap_or(StatusReply::Malformed)));
            }
            _ => {}
        }
        Ok(None)
    }
}

fn read_row(row: &DataRowBody) -> StatusReply {
    parse_row(row).map_or(StatusReply::Malformed, StatusReply::Status)
}

fn parse_row(row: &DataRowBody) -> Option<MemberStatus> {
    use fallible_iterator::FallibleIterator;
    let ranges: Vec<_> = row.ranges().collect().ok()?;
    if ranges.len() != STATUS_COLUMNS {
        return None;
    }
    let text = |column: usize| {
        let range = ranges[column].clone()?;
        std::str::from_utf8(row.buffer().get(range)?).ok()
    };
    let role = match text(0)? {
        PRIMARY => Role::Primary,
        REPLICA => Role::Replica,
        _ => return None,
    };
    Some(MemberStatus {
        role,
        term: Term(number(text(1)?)?),
        log: LogPosition {
            term: Term(number(text(2)?)?),
            offset: number(text(3)?)?,
        },
    })
}

fn number(text: &str) -> Option<u64> {
    u64::from_str(text.trim()).ok()
}
