//! The stream of a watch: one JSON message a line.

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use dyketally_http::describe;
use dyketally_store::watch::{WatchSource, batches_of};
use futures::StreamExt;
use futures::stream::BoxStream;
use reqwest::Response;

use super::transport::{parse, stream_result};
use crate::stores::key_value::{WatchBatch, WatchStream};
use crate::stores::store_error::StoreError;
use crate::stores::wire::{StreamItem, WatchResponse};

/// Longest message of a watch, in bytes.
const LONGEST_MESSAGE: usize = 64 * 1024 * 1024;

/// Reads the batches of a watch from the body of its response.
pub(super) fn batches(response: Response) -> WatchStream {
    let reader = WatchReader {
        body: response.bytes_stream().boxed(),
        buffer: BytesMut::new(),
    };
    batches_of(reader)
}

struct WatchReader {
    body: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    buffer: BytesMut,
}

#[async_trait]
impl WatchSource for WatchReader {
    async fn next_batch(&mut self) -> Result<WatchBatch, StoreError> {
        let line = self.next_line().await?;
        let item: StreamItem<WatchResponse> = parse(&line)?;
        batch(stream_result(item)?)
    }
}

impl WatchReader {
    async fn next_line(&mut self) -> Result<Bytes, StoreError> {
        let mut searched = 0;
        loop {
            let end = self.buffer[searched..]
                .iter()
                .position(|byte| *byte == b'\n');
            if let Some(end) = end {
                let line = self.buffer.split_to(searched + end + 1).freeze();
                match line.trim_ascii().is_empty() {
                    true => {
                        searched = 0;
                        continue;
                    }
                    false => return Ok(line),
                }
            }
            searched = self.buffer.len();
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), StoreError> {
        if self.buffer.len() > LONGEST_MESSAGE {
            return Err(StoreError::Malformed {
                reason: format!("a message of a watch exceeds {LONGEST_MESSAGE} bytes"),
            });
        }
        match self.body.next().await {
            Some(Ok(chunk)) => {
                self.buffer.extend_from_slice(&chunk);
                Ok(())
            }
            Some(Err(error)) => Err(lost(describe(&error))),
            None => Err(lost("the service ended the watch".into())),
        }
    }
}

fn lost(reason: String) -> StoreError {
    StoreError::Unavailable { reason }
}

fn batch(response: WatchResponse) -> Result<WatchBatch, StoreError> {
    if !response.compact_revision.is_zero() {
        return Err(StoreError::Compacted);
    }
    if response.canceled {
        return Err(lost(format!(
            "the watch was cancelled: {}",
            response.cancel_reason
        )));
    }
    Ok(response.into())
}
