//! The planned stop of a node: nothing that is in flight is cut off before the deadline.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, timeout_at};

use super::Node;

/// Signals that ask for a planned stop.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Listens for `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    /// The handlers can't be installed.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// What a planned stop cut off at its deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Sessions of callers.
    pub sessions: usize,
    /// Requests and transactions at homes of this node.
    pub home_work: usize,
}

impl StopReport {
    /// True when nothing was cut off.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

impl Node {
    /// Stops the node: new callers are refused, present ones turned away between two batches, and
    /// work in flight ends, all until the drain deadline.
    pub async fn stop(self) -> StopReport {
        let deadline = Instant::now() + self.settings.limits.drain_deadline;
        log::info!("leaving: callers are turned away between two statements");
        // Told first, so that other nodes place the homes of this one elsewhere.
        self.membership.announce_leaving().await;
        self.edge.leaving.cancel();
        self.sessions.close();
        let sessions_ended = timeout_at(deadline, self.sessions.wait()).await;
        let mut report = StopReport::default();
        if sessions_ended.is_err() {
            report.sessions = self.sessions.len();
        }
        for home in self.homes.handles() {
            report.home_work += home.drain(deadline).await;
        }
        self.listeners.cancel();
        self.membership.leave().await;
        self.links.cancel();
        report
    }
}
