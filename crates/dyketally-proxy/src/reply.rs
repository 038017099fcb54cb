//! The way back of a request's reply, whether its edge is in this process or behind a link.

use bytes::Bytes;
use dyketally_protocol::{Completion, ExecuteRequest};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Chunks of reply data that may wait for the edge; bounds memory and makes a slow caller slow
/// only its own database connection.
pub const REPLY_CHUNKS_IN_FLIGHT: usize = 8;

/// The edge no longer waits for the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller no longer waits; finish or close the connection and drop the reply")]
pub struct EdgeGone;

/// Where a home sends the reply of one request. Dropped without a completion only if the home
/// itself is lost; the edge then reports the outcome as unknown.
#[derive(Debug)]
pub struct ReplySender {
    data: mpsc::Sender<Bytes>,
    completion: oneshot::Sender<Completion>,
}

/// Where an edge takes the reply of one request from.
#[derive(Debug)]
pub struct ReplyReceiver {
    /// Encoded backend messages, in order; closed before the completion is sent.
    pub data: mpsc::Receiver<Bytes>,
    /// How the request ended; an error means that the home was lost.
    pub completion: oneshot::Receiver<Completion>,
}

/// Makes the two ends of one reply.
pub fn reply_channel() -> (ReplySender, ReplyReceiver) {
    let (data_sender, data) = mpsc::channel(REPLY_CHUNKS_IN_FLIGHT);
    let (completion_sender, completion) = oneshot::channel();
    let sender = ReplySender {
        data: data_sender,
        completion: completion_sender,
    };
    (sender, ReplyReceiver { data, completion })
}

impl ReplySender {
    /// Sends whole backend messages, without `ReadyForQuery`; waits while the edge is behind.
    pub async fn data(&self, messages: Bytes) -> Result<(), EdgeGone> {
        self.data.send(messages).await.map_err(|_| EdgeGone)
    }

    /// Ends the request. All data was sent before.
    pub fn finish(self, completion: Completion) {
        drop(self.data);
        // An edge that has gone needs no answer.
        let _ = self.completion.send(completion);
    }
}

/// One request as a home takes it.
#[derive(Debug)]
pub struct HomeRequest {
    /// What to run.
    pub execute: ExecuteRequest,
    /// Cancelled when the caller no longer waits or asked to cancel.
    pub cancelled: CancellationToken,
    /// Where the reply goes.
    pub reply: ReplySender,
}
