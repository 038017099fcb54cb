//! The way back of a request's reply, whether its edge is in this process or behind a link.

use std::fmt;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use dyketally_protocol::{Completion, ExecuteRequest};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Chunks of reply data that may wait for the edge; bounds memory and makes a slow caller slow
/// only its own database connection.
pub const REPLY_CHUNKS_IN_FLIGHT: usize = 8;

/// Chunks that are taken before a report is due; half the window, so that the home never idles.
const CHUNKS_PER_REPORT: u32 = REPLY_CHUNKS_IN_FLIGHT as u32 / 2;

/// The edge no longer waits for the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller no longer waits; finish or close the connection and drop the reply")]
pub struct EdgeGone;

/// More reply data came than the edge had room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more reply data came than was granted; close the link")]
pub struct ReplyOverrun;

/// Told how many chunks the edge has taken since the last call.
struct ConsumptionReport(Box<dyn Fn(u32) + Send + Sync>);

impl fmt::Debug for ConsumptionReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ConsumptionReport")
    }
}

/// Where a home sends the reply of one request. Dropped without a completion only if the home
/// itself is lost; the edge then reports the outcome as unknown.
#[derive(Debug)]
pub struct ReplySender {
    data: mpsc::Sender<Bytes>,
    completion: oneshot::Sender<Completion>,
    consumption: Arc<OnceLock<ConsumptionReport>>,
}

/// Where an edge takes the reply of one request from.
#[derive(Debug)]
pub struct ReplyReceiver {
    /// Encoded backend messages, in order; closed before the completion is sent.
    pub data: mpsc::Receiver<Bytes>,
    /// How the request ended; an error means that the home was lost.
    pub completion: oneshot::Receiver<Completion>,
    consumption: Arc<OnceLock<ConsumptionReport>>,
    unreported: u32,
}

/// Makes the two ends of one reply.
pub fn reply_channel() -> (ReplySender, ReplyReceiver) {
    let (data_sender, data) = mpsc::channel(REPLY_CHUNKS_IN_FLIGHT);
    let (completion_sender, completion) = oneshot::channel();
    let consumption = Arc::new(OnceLock::new());
    let sender = ReplySender {
        data: data_sender,
        completion: completion_sender,
        consumption: consumption.clone(),
    };
    let receiver = ReplyReceiver {
        data,
        completion,
        consumption,
        unreported: 0,
    };
    (sender, receiver)
}

impl ReplySender {
    /// Sends whole backend messages, without `ReadyForQuery`; waits while the edge is behind.
    pub async fn data(&self, messages: Bytes) -> Result<(), EdgeGone> {
        self.data.send(messages).await.map_err(|_| EdgeGone)
    }

    /// Sends data that the edge has granted room for; data for an edge that has gone is dropped.
    pub fn try_data(&self, messages: Bytes) -> Result<(), ReplyOverrun> {
        match self.data.try_send(messages) {
            Err(mpsc::error::TrySendError::Full(_)) => Err(ReplyOverrun),
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => Ok(()),
        }
    }

    /// Has `report` called from time to time with the number of chunks that the edge has taken.
    pub fn on_consumed(&self, report: impl Fn(u32) + Send + Sync + 'static) {
        // A reply crosses one link at most, so the cell is empty.
        let _ = self.consumption.set(ConsumptionReport(Box::new(report)));
    }

    /// Ends the request. All data was sent before.
    ///
    /// # Errors
    /// The edge has gone: a transaction that the request left open has no owner and must end.
    pub fn finish(self, completion: Completion) -> Result<(), EdgeGone> {
        drop(self.data);
        self.completion.send(completion).map_err(|_| EdgeGone)
    }
}

impl ReplyReceiver {
    /// The next chunk; `None` once all data was taken and the completion is due.
    pub async fn next(&mut self) -> Option<Bytes> {
        let chunk = self.data.recv().await?;
        self.unreported += 1;
        if self.unreported >= CHUNKS_PER_REPORT
            && let Some(ConsumptionReport(report)) = self.consumption.get()
        {
            report(std::mem::take(&mut self.unreported));
        }
        Some(chunk)
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
