//! Leaving of a database.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// How far a database has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DatabaseDrainPhase {
    /// It gets work.
    Serving,
    /// It gets no new work; statements and transactions in flight end.
    Leaving {
        /// When what is left is cut off.
        deadline: Timestamp,
    },
    /// Nothing runs at it.
    Left,
}

/// What the owner of a drain has to do; each is asked for once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseDrainAction<W> {
    /// Roll back the transactions that are left and close their connections.
    Cut {
        /// The work that did not end in time.
        work: Vec<W>,
    },
    /// Close all connections: nothing runs at the database any more.
    CloseConnections,
}

/// Leaving of a database, from the first notice of it to its last statement.
#[derive(Debug)]
pub struct DatabaseDrain<W> {
    grace: Duration,
    phase: DatabaseDrainPhase,
    in_flight: BTreeSet<W>,
}

impl<W: Clone + Ord> DatabaseDrain<W> {
    /// A database that gets work. Once it leaves, work in flight has `grace` to end.
    pub fn new(grace: Duration) -> Self {
        DatabaseDrain {
            grace,
            phase: DatabaseDrainPhase::Serving,
            in_flight: BTreeSet::new(),
        }
    }

    /// How far the database has left.
    pub fn phase(&self) -> DatabaseDrainPhase {
        self.phase
    }

    /// Whether fresh statements may be sent. Statements of a transaction that is open at the
    /// database may be sent until it is cut off.
    pub fn accepts_new_work(&self) -> bool {
        self.phase == DatabaseDrainPhase::Serving
    }

    /// A statement or a transaction began at the database.
    pub fn begin(&mut self, work: W) {
        self.in_flight.insert(work);
    }

    /// A statement or a transaction ended.
    pub fn end(&mut self, work: &W) {
        self.in_flight.remove(work);
    }

    /// The database is leaving: the list of machines or the database itself says so. Later
    /// notices don't move the deadline.
    pub fn notice(&mut self, now: Timestamp) {
        if self.phase == DatabaseDrainPhase::Serving {
            let deadline = now + self.grace;
            self.phase = DatabaseDrainPhase::Leaving { deadline };
        }
    }

    /// The database gets work again.
    pub fn readmit(&mut self) {
        self.phase = DatabaseDrainPhase::Serving;
    }

    /// What to do now. Call after each event and at [`next_wakeup`](Self::next_wakeup).
    pub fn poll(&mut self, now: Timestamp) -> Vec<DatabaseDrainAction<W>> {
        let mut actions = Vec::new();
        let DatabaseDrainPhase::Leaving { deadline } = self.phase else {
            return actions;
        };
        if deadline <= now && !self.in_flight.is_empty() {
            let work = std::mem::take(&mut self.in_flight).into_iter().collect();
            actions.push(DatabaseDrainAction::Cut { work });
        }
        if self.in_flight.is_empty() {
            self.phase = DatabaseDrainPhase::Left;
            actions.push(DatabaseDrainAction::CloseConnections);
        }
        actions
    }

    /// When [`poll`](Self::poll) has something to do without any other event.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match self.phase {
            DatabaseDrainPhase::Leaving { deadline } => Some(deadline),
            DatabaseDrainPhase::Serving | DatabaseDrainPhase::Left => None,
        }
    }

    /// Work in flight, in order.
    pub fn in_flight(&self) -> impl ExactSizeIterator<Item = &W> {
        self.in_flight.iter()
    }
}
