//! Reply plan: which backend message answers which message that the home sent.
//!
//! A database answers the messages of a batch in order. The plan is the list of answers that are
//! still due. Each backend message is matched to the head of the list, so that answers to messages
//! that the home added are dropped, answers to messages that it left out are made up, and a
//! message that answers nothing is found out.

use std::collections::VecDeque;

use dyketally_protocol::{StatementName, TransactionStatus};
use postgres_protocol::message::backend::{
    BIND_COMPLETE_TAG, CLOSE_COMPLETE_TAG, COMMAND_COMPLETE_TAG, COPY_DATA_TAG, COPY_DONE_TAG,
    COPY_IN_RESPONSE_TAG, COPY_OUT_RESPONSE_TAG, DATA_ROW_TAG, EMPTY_QUERY_RESPONSE_TAG,
    ERROR_RESPONSE_TAG, NO_DATA_TAG, NOTICE_RESPONSE_TAG, NOTIFICATION_RESPONSE_TAG,
    PARAMETER_DESCRIPTION_TAG, PARAMETER_STATUS_TAG, PARSE_COMPLETE_TAG, PORTAL_SUSPENDED_TAG,
    READY_FOR_QUERY_TAG, ROW_DESCRIPTION_TAG,
};

/// `ParseComplete` as it is made up for a statement that the connection has already.
pub const PARSE_COMPLETE: [u8; 5] = [PARSE_COMPLETE_TAG, 0, 0, 0, 4];

/// `CloseComplete` as it is made up for a statement that stays on the connection.
pub const CLOSE_COMPLETE: [u8; 5] = [CLOSE_COMPLETE_TAG, 0, 0, 0, 4];

/// An answer that is still due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedReply {
    /// `ParseComplete` for a statement; passed on only if the caller asked to prepare it.
    Parse {
        /// The statement that the connection has from then on.
        statement: StatementName,
        /// Whether the caller sees the answer.
        passed_on: bool,
    },
    /// `ParseComplete` made up: the connection has the statement already.
    KnownParse,
    /// `CloseComplete` for a statement that the home evicts; not passed on.
    Eviction,
    /// `CloseComplete` made up: the statement stays on the connection.
    KeptStatementClose,
    /// `CloseComplete` for a portal.
    PortalClose,
    /// `BindComplete`.
    Bind,
    /// `ParameterDescription`, then `RowDescription` or `NoData`.
    StatementDescription,
    /// `RowDescription` or `NoData`.
    PortalDescription,
    /// Rows, then `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Execution,
    /// Everything that answers a simple query, up to `ReadyForQuery`.
    SimpleQuery,
    /// `ReadyForQuery`.
    Sync,
}

/// What to do with one backend message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The caller sees it.
    PassOn,
    /// The caller sees it; it is an error.
    PassOnError,
    /// The caller doesn't see it.
    Drop,
    /// As `PassOn` or `Drop`, and the connection has this statement from now on.
    Prepared {
        /// The statement.
        statement: StatementName,
        /// Whether the caller sees the message.
        passed_on: bool,
    },
    /// The database waits for data that the home can't supply: end it with `CopyFail`.
    RefuseCopy,
    /// The batch is over.
    Ended(TransactionStatus),
}

/// A backend message that answers nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the database sent a message with tag {tag:?} where it answers nothing; check that the \
     configured address is that of a PostgreSQL server"
)]
pub struct UnexpectedMessage {
    /// The tag of the message.
    pub tag: char,
}

/// The answers of one batch that are still due.
#[derive(Debug, Default)]
pub struct ReplyPlan {
    due: VecDeque<ExpectedReply>,
}

impl ReplyPlan {
    /// Adds an answer behind those already due.
    pub fn expect(&mut self, reply: ExpectedReply) {
        self.due.push_back(reply);
    }

    /// The next made-up message, if it is its turn; call until `None` before each `accept`.
    pub fn made_up(&mut self) -> Option<&'static [u8]> {
        let message: &'static [u8] = match self.due.front()? {
            ExpectedReply::KnownParse => &PARSE_COMPLETE,
            ExpectedReply::KeptStatementClose => &CLOSE_COMPLETE,
            _ => return None,
        };
        self.due.pop_front();
        Some(message)
    }

    /// Matches a backend message with `tag`; `first_body_byte` is the state in `ReadyForQuery`.
    pub fn accept(
        &mut self,
        tag: u8,
        first_body_byte: Option<u8>,
    ) -> Result<Disposition, UnexpectedMessage> {
        match tag {
            NOTICE_RESPONSE_TAG => Ok(Disposition::PassOn),
            PARAMETER_STATUS_TAG | NOTIFICATION_RESPONSE_TAG => Ok(Disposition::Drop),
            ERROR_RESPONSE_TAG => self.accept_error(),
            READY_FOR_QUERY_TAG => self.accept_end(first_body_byte),
            COPY_IN_RESPONSE_TAG => Ok(Disposition::RefuseCopy),
            _ => self.accept_answer(tag),
        }
    }

    /// After an error the database skips everything up to the end of the batch.
    fn accept_error(&mut self) -> Result<Disposition, UnexpectedMessage> {
        self.due
            .retain(|reply| matches!(reply, ExpectedReply::Sync | ExpectedReply::SimpleQuery));
        if self.due.is_empty() {
            return Err(unexpected(ERROR_RESPONSE_TAG));
        }
        Ok(Disposition::PassOnError)
    }

    fn accept_end(&mut self, state: Option<u8>) -> Result<Disposition, UnexpectedMessage> {
        let due = self.due.pop_front();
        if !matches!(due, Some(ExpectedReply::Sync | ExpectedReply::SimpleQuery)) {
            return Err(unexpected(READY_FOR_QUERY_TAG));
        }
        let status = match state {
            Some(b'I') => TransactionStatus::Idle,
            Some(b'T') => TransactionStatus::Open,
            Some(b'E') => TransactionStatus::Failed,
            _ => return Err(unexpected(READY_FOR_QUERY_TAG)),
        };
        Ok(Disposition::Ended(status))
    }

    fn accept_answer(&mut self, tag: u8) -> Result<Disposition, UnexpectedMessage> {
        let head = self.due.front().ok_or(unexpected(tag))?;
        match place(head, tag) {
            Place::Unexpected => Err(unexpected(tag)),
            Place::Within => Ok(Disposition::PassOn),
            Place::Last => {
                let answered = self.due.pop_front();
                Ok(answered.map_or(Disposition::PassOn, disposition_of))
            }
        }
    }
}

/// Where in the answer to one message a backend message stands.
enum Place {
    Within,
    Last,
    Unexpected,
}

fn place(head: &ExpectedReply, tag: u8) -> Place {
    match (head, tag) {
        (ExpectedReply::Parse { .. }, PARSE_COMPLETE_TAG)
        | (ExpectedReply::Eviction | ExpectedReply::PortalClose, CLOSE_COMPLETE_TAG)
        | (ExpectedReply::Bind, BIND_COMPLETE_TAG)
        | (
            ExpectedReply::StatementDescription | ExpectedReply::PortalDescription,
            ROW_DESCRIPTION_TAG | NO_DATA_TAG,
        )
        | (
            ExpectedReply::Execution,
            COMMAND_COMPLETE_TAG | EMPTY_QUERY_RESPONSE_TAG | PORTAL_SUSPENDED_TAG,
        ) => Place::Last,
        (ExpectedReply::StatementDescription, PARAMETER_DESCRIPTION_TAG)
        | (
            ExpectedReply::Execution,
            DATA_ROW_TAG | COPY_OUT_RESPONSE_TAG | COPY_DATA_TAG | COPY_DONE_TAG,
        )
        | (
            ExpectedReply::SimpleQuery,
            ROW_DESCRIPTION_TAG
            | DATA_ROW_TAG
            | COMMAND_COMPLETE_TAG
            | EMPTY_QUERY_RESPONSE_TAG
            | COPY_OUT_RESPONSE_TAG
            | COPY_DATA_TAG
            | COPY_DONE_TAG,
        ) => Place::Within,
        _ => Place::Unexpected,
    }
}

fn disposition_of(answered: ExpectedReply) -> Disposition {
    match answered {
        ExpectedReply::Parse {
            statement,
            passed_on,
        } => Disposition::Prepared {
            statement,
            passed_on,
        },
        ExpectedReply::Eviction => Disposition::Drop,
        _ => Disposition::PassOn,
    }
}

fn unexpected(tag: u8) -> UnexpectedMessage {
    UnexpectedMessage {
        tag: char::from(tag),
    }
}
