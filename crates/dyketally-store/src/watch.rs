//! Watches as streams, for all implementations of the port.

use async_trait::async_trait;
use futures::{StreamExt, stream};

use crate::error::StoreError;
use crate::key_value::{WatchBatch, WatchStream};

/// Where the batches of one watch come from.
#[async_trait]
pub trait WatchSource: Send + 'static {
    /// The next batch; waits for it.
    ///
    /// # Errors
    /// The watch is lost. It isn't asked again.
    async fn next_batch(&mut self) -> Result<WatchBatch, StoreError>;
}

/// The batches of `source`, up to and with the first error.
pub fn batches_of(source: impl WatchSource) -> WatchStream {
    let batches = stream::unfold(Some(source), |source| async {
        let mut source = source?;
        let batch = source.next_batch().await;
        let rest = batch.is_ok().then_some(source);
        Some((batch, rest))
    });
    batches.boxed()
}
