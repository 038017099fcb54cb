//! Drain, the planned stop of a node: the node announces that it is leaving, then lets what is in flight
//! finish.
//!
//! The owner of a drain defines the type `W` of the items that the drain waits for. Items finish by
//! themselves; those left at the deadline are cut off and listed.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// How long the steps of a planned stop may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDrainSettings {
    /// Longest time to wait until every peer has acknowledged that the node is leaving; callers are served
    /// as usual meanwhile.
    pub announce_wait: Duration,
    /// Time that callers with neither a statement nor a transaction have to send a statement, which is
    /// answered with the advice to connect to another node. After that their connections are closed.
    pub idle_caller_wait: Duration,
    /// Time from the request to stop until the items that are left are cut off.
    pub deadline: Duration,
}

impl Default for NodeDrainSettings {
    fn default() -> Self {
        NodeDrainSettings {
            announce_wait: Duration::from_secs(1),
            idle_caller_wait: Duration::from_secs(2),
            deadline: Duration::from_secs(30),
        }
    }
}

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeDrainPhase {
    /// No stop is planned.
    Serving,
    /// Peers are being notified; callers and peers are served as usual.
    Announced,
    /// No new requests are accepted; items in flight finish.
    TurningAway,
    /// Nothing is in flight. The process may exit.
    Done,
}

/// What the owner of a drain has to do; each action is given once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeDrainAction<W> {
    /// Notify every peer that this node is leaving.
    AnnounceLeaving,
    /// Accept no new callers, and turn callers away between two statements.
    TurnCallersAway,
    /// Close the connections of callers that have neither a statement nor a transaction.
    CloseIdleCallers,
    /// Cut off the items that are left, and log them.
    Cut {
        /// The items that did not finish before the deadline.
        work: Vec<W>,
    },
    /// Exit.
    Exit,
}

/// The planned stop of a node as a state machine.
#[derive(Debug)]
pub struct NodeDrain<W> {
    settings: NodeDrainSettings,
    phase: NodeDrainPhase,
    in_flight: BTreeSet<W>,
    stop_requested: Option<Timestamp>,
    announced: bool,
    peers_informed: bool,
    turning_away_since: Timestamp,
    idle_callers_closed: bool,
    cut: Vec<W>,
}

impl<W: Clone + Ord> NodeDrain<W> {
    /// Creates the drain of a node that serves and has no stop planned.
    pub fn new(settings: NodeDrainSettings) -> Self {
        NodeDrain {
            settings,
            phase: NodeDrainPhase::Serving,
            in_flight: BTreeSet::new(),
            stop_requested: None,
            announced: false,
            peers_informed: false,
            turning_away_since: Timestamp::ZERO,
            idle_callers_closed: false,
            cut: Vec::new(),
        }
    }

    /// The current phase.
    pub fn phase(&self) -> NodeDrainPhase {
        self.phase
    }

    /// Whether new callers and new requests from peers are accepted.
    pub fn accepts_new_work(&self) -> bool {
        self.phase <= NodeDrainPhase::Announced
    }

    /// Records that an item is in flight. Repeating the call changes nothing.
    pub fn begin(&mut self, item: W) {
        self.in_flight.insert(item);
    }

    /// Records that an item finished.
    pub fn end(&mut self, item: &W) {
        self.in_flight.remove(item);
    }

    /// Starts the planned stop. A second call changes nothing.
    pub fn stop(&mut self, now: Timestamp) {
        if self.phase == NodeDrainPhase::Serving {
            self.phase = NodeDrainPhase::Announced;
            self.stop_requested = Some(now);
        }
    }

    /// Records that every peer has acknowledged that this node is leaving.
    pub fn peers_informed(&mut self) {
        self.peers_informed = true;
    }

    /// The actions due at `now`. Call after each event and at [`next_wakeup`](Self::next_wakeup).
    pub fn poll(&mut self, now: Timestamp) -> Vec<NodeDrainAction<W>> {
        let mut actions = Vec::new();
        let Some(requested) = self.stop_requested else {
            return actions;
        };
        if self.phase == NodeDrainPhase::Announced {
            self.poll_announced(now, requested, &mut actions);
        }
        if self.phase == NodeDrainPhase::TurningAway {
            self.poll_turning_away(now, requested, &mut actions);
        }
        actions
    }

    /// When [`poll`](Self::poll) has something to do without any other event.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let requested = self.stop_requested?;
        let deadline = requested + self.settings.deadline;
        match self.phase {
            NodeDrainPhase::Serving | NodeDrainPhase::Done => None,
            NodeDrainPhase::Announced => {
                Some(deadline.min(requested + self.settings.announce_wait))
            }
            NodeDrainPhase::TurningAway if self.idle_callers_closed => Some(deadline),
            NodeDrainPhase::TurningAway => Some(deadline.min(self.idle_callers_due())),
        }
    }

    /// The items that were cut off at the deadline.
    pub fn cut(&self) -> &[W] {
        &self.cut
    }

    fn poll_announced(
        &mut self,
        now: Timestamp,
        requested: Timestamp,
        actions: &mut Vec<NodeDrainAction<W>>,
    ) {
        if !self.announced {
            self.announced = true;
            actions.push(NodeDrainAction::AnnounceLeaving);
        }
        let longest_wait = self.settings.announce_wait.min(self.settings.deadline);
        let waited = requested + longest_wait <= now;
        if self.peers_informed || waited {
            self.phase = NodeDrainPhase::TurningAway;
            self.turning_away_since = now;
            actions.push(NodeDrainAction::TurnCallersAway);
        }
    }

    fn poll_turning_away(
        &mut self,
        now: Timestamp,
        requested: Timestamp,
        actions: &mut Vec<NodeDrainAction<W>>,
    ) {
        if !self.idle_callers_closed && self.idle_callers_due() <= now {
            self.idle_callers_closed = true;
            actions.push(NodeDrainAction::CloseIdleCallers);
        }
        let overdue = requested + self.settings.deadline <= now;
        if overdue && !self.in_flight.is_empty() {
            self.cut = self.in_flight.iter().cloned().collect();
            self.in_flight.clear();
            let work = self.cut.clone();
            actions.push(NodeDrainAction::Cut { work });
        }
        if self.in_flight.is_empty() || overdue {
            self.phase = NodeDrainPhase::Done;
            actions.push(NodeDrainAction::Exit);
        }
    }

    fn idle_callers_due(&self) -> Timestamp {
        self.turning_away_since + self.settings.idle_caller_wait
    }
}
