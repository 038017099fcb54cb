//! The planned stop of the process, phase by phase.

use tokio::sync::watch;

/// Phases of a planned stop, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was asked for.
    Serving,
    /// The node is no longer ready, but callers that don't know yet are served as before.
    Leaving,
    /// No new sessions; each ends as soon as no operation is under way.
    ClosingSessions,
    /// Transactions that are still open are given up.
    EndingTransactions,
}

/// The phase that the process is in.
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

    /// Waits until a phase of the planned stop begins.
    pub async fn entered(&self, phase: StopPhase) {
        let mut entered = self.phase.subscribe();
        // The sender lives as long as the process.
        let _ = entered.wait_for(|entered| *entered >= phase).await;
    }
}
