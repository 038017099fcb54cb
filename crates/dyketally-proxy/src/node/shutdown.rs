//! The planned stop of a node: nothing that is in flight is cut off before the deadline.

use std::time::Duration;
use std::{fmt, io};

use dyketally::drain::{NodeDrain, NodeDrainAction, NodeDrainSettings};
use dyketally::identifiers::DatabaseName;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use super::Node;
use crate::clock::now;

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

/// Time between two looks at what is still in flight.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Work that a planned stop waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoppingWork {
    /// Callers that have not gone yet.
    Callers,
    /// Requests or transactions at this node's home of the database.
    Home(DatabaseName),
}

impl fmt::Display for StoppingWork {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Callers => formatter.write_str("callers"),
            Self::Home(database) => write!(formatter, "work at the home of {database}"),
        }
    }
}

/// What a planned stop cut off at its deadline.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// The work that was cut off.
    pub cut: Vec<StoppingWork>,
}

impl StopReport {
    /// True when nothing was cut off.
    pub fn is_clean(&self) -> bool {
        self.cut.is_empty()
    }
}

impl fmt::Display for StopReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_clean() {
            return formatter.write_str("nothing was cut off");
        }
        let cut: Vec<String> = self.cut.iter().map(ToString::to_string).collect();
        write!(
            formatter,
            "cut off at the deadline: {}; raise `limits.drain_deadline` if this work may go on",
            cut.join(", ")
        )
    }
}

impl Node {
    /// Stops the node: peers are told, callers turned away between two batches, and work in
    /// flight ends, all until the drain deadline.
    pub async fn stop(self) -> StopReport {
        let mut drain = NodeDrain::new(NodeDrainSettings {
            deadline: self.settings.limits.drain_deadline,
            ..NodeDrainSettings::default()
        });
        let mut report = StopReport::default();
        drain.stop(now());
        loop {
            self.note_work(&mut drain);
            for action in drain.poll(now()) {
                match action {
                    NodeDrainAction::AnnounceLeaving => {
                        log::info!("leaving: other nodes are told");
                        self.membership.announce_leaving().await;
                        drain.peers_informed();
                    }
                    NodeDrainAction::TurnCallersAway => self.turn_away(),
                    NodeDrainAction::CloseIdleCallers => self.edge.leaving.closing_idle.cancel(),
                    NodeDrainAction::Cut { work } => report.cut = work,
                    NodeDrainAction::Exit => {
                        self.end().await;
                        return report;
                    }
                }
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Tells the drain what is in flight now.
    fn note_work(&self, drain: &mut NodeDrain<StoppingWork>) {
        note(drain, StoppingWork::Callers, !self.sessions.is_empty());
        for home in self.homes.handles() {
            let status = home.status();
            let busy = status.in_flight > 0 || status.idle_transactions > 0;
            note(drain, StoppingWork::Home(status.database), busy);
        }
    }

    fn turn_away(&self) {
        log::info!("leaving: callers are turned away between two statements");
        self.edge.leaving.turning_away.cancel();
        self.sessions.close();
        let deadline = Instant::now() + self.settings.limits.drain_deadline;
        for home in self.homes.handles() {
            tokio::spawn(async move { home.drain(deadline).await });
        }
    }

    async fn end(&self) {
        self.listeners.cancel();
        self.membership.leave().await;
        self.links.cancel();
    }
}

fn note(drain: &mut NodeDrain<StoppingWork>, work: StoppingWork, in_flight: bool) {
    if in_flight {
        drain.begin(work);
    } else {
        drain.end(&work);
    }
}
