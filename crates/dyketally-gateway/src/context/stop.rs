//! Phases of the process's planned stop, and the signal that a phase has begun.

use tokio::sync::watch;

/// Phases of a planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was requested.
    Serving,
    /// The node reports that it isn't ready, but still serves callers that haven't noticed.
    Leaving,
    /// New sessions are refused, and each open session ends as soon as no operation of it is in progress.
    ClosingSessions,
    /// Transactions that are still open are abandoned.
    EndingTransactions,
}

/// The current phase of the process.
#[derive(Debug)]
pub struct Stop {
    phase: watch::Sender<StopPhase>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
        }
    }
}

impl Stop {
    /// Enters a phase of the planned stop.
    pub fn enter(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// True once the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() > StopPhase::Serving
    }

    /// Waits until `phase` of the planned stop, or a later one, has begun.
    pub async fn wait_for_phase(&self, phase: StopPhase) {
        let mut current = self.phase.subscribe();
        // The wait can't fail: the sender exists as long as the process.
        let _ = current.wait_for(|current| *current >= phase).await;
    }
}
