//! The rows of an answer, up to the longest answer that is passed on.

use bytes::Bytes;
use dyketally::budget::{ANSWER_BYTES, ROW_BYTES};
use dyketally::statement::{Failure, FailureKind};

/// Message of the failure in place of an answer that is too long.
pub(super) const TOO_LONG: &str =
    "the statement has run, but its answer is longer than 3 MiB; ask for fewer rows";

/// The rows of an answer that is being read. Beyond the limit they are read and dropped, so that the connection can be
/// used further.
#[derive(Default)]
pub(super) struct Rows {
    rows: Vec<Bytes>,
    bytes: usize,
}

impl Rows {
    pub(super) fn push(&mut self, row: Bytes) {
        self.bytes += row.len() + ROW_BYTES;
        match self.bytes > ANSWER_BYTES {
            true => self.rows = Vec::new(),
            false => self.rows.push(row),
        }
    }

    /// The rows; replaces the `end` of an answer that was too long by a failure.
    pub(super) fn within_limit(self, end: &mut Result<Bytes, Failure>) -> Vec<Bytes> {
        if self.bytes > ANSWER_BYTES {
            *end = Err(Failure {
                kind: FailureKind::Failed,
                message: TOO_LONG.to_owned(),
            });
        }
        self.rows
    }
}
