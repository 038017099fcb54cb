//! Reads answers of a database.

use dyketally::statement::{Failure, FailureKind};
use tokio::io::AsyncRead;

use super::rows::Rows;
use super::{Answer, Disconnected};
use crate::context::input::InputBuffer;
use crate::ports::{Reply, SharedDatabaseProtocol};

/// Buffer space reserved for each read from a database, in bytes. Most answers are shorter.
const READ_CHUNK: usize = 4_096;

/// Reads what a database sends on one connection.
pub(super) struct AnswerReader<'a, S> {
    pub(super) stream: S,
    pub(super) input: &'a mut InputBuffer,
    pub(super) protocol: &'a SharedDatabaseProtocol,
}

impl<S: AsyncRead + Unpin> AnswerReader<'_, S> {
    /// The next complete answer.
    pub(super) async fn answer(&mut self) -> Result<Answer, Disconnected> {
        let mut rows = Rows::default();
        let mut end = Err(Failure {
            kind: FailureKind::Other,
            message: "the database gave no result".to_owned(),
        });
        loop {
            match self.reply().await? {
                Reply::Row(row) => rows.push(row),
                Reply::Complete(signature) => end = Ok(signature),
                Reply::Failed(failure) => end = Err(failure),
                Reply::Ready { state, position } => {
                    return Ok(Answer {
                        rows: rows.within_limit(&mut end),
                        end,
                        state,
                        position,
                    });
                }
            }
        }
    }

    /// The next part of an answer.
    pub(super) async fn reply(&mut self) -> Result<Reply, Disconnected> {
        loop {
            let protocol = self.protocol;
            let decoded = self
                .input
                .decode(&**protocol, |bytes| protocol.decode(bytes));
            if let Some(reply) = decoded.map_err(Disconnected::new)? {
                return Ok(reply);
            }
            let reading = self
                .input
                .read_from(&mut self.stream, READ_CHUNK, usize::MAX);
            if reading.await.map_err(Disconnected::new)? == 0 {
                return Err(Disconnected::new("closed by the database"));
            }
        }
    }
}
