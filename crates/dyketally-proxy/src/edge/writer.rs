//! The writing side of a caller's connection.

use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::answer::AnswerBuffer;

/// Bytes that are collected before they are written without waiting for the batch's end.
const WRITE_AT: usize = 32 * 1024;

/// Writes answers to a caller.
#[derive(Debug)]
pub struct CallerWriter<Stream> {
    stream: Stream,
    /// What waits to be written.
    pub answer: AnswerBuffer,
}

impl<Stream: AsyncWrite + Unpin> CallerWriter<Stream> {
    /// Writes to `stream`.
    pub fn new(stream: Stream) -> Self {
        Self {
            stream,
            answer: AnswerBuffer::default(),
        }
    }

    /// Writes what was collected.
    pub async fn flush(&mut self) -> std::io::Result<()> {
        self.stream.write_all(self.answer.pending()).await?;
        self.answer.clear();
        Ok(())
    }

    /// Writes what was collected and ends this direction of the stream.
    pub async fn finish(&mut self) -> std::io::Result<()> {
        self.flush().await?;
        self.stream.shutdown().await
    }

    /// Writes what was collected if it is much.
    pub async fn flush_if_large(&mut self) -> std::io::Result<()> {
        if self.answer.pending().len() >= WRITE_AT {
            self.flush().await?;
        }
        Ok(())
    }
}
