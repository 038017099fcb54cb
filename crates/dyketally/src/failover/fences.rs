//! The databases that one node doesn't take for leaders.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

/// How long a fence stands that is never lifted.
pub const FENCE_HOLDS: Duration = Duration::from_secs(8);

/// One round of fences around a database; its number is drawn at random as it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FenceId(pub u64);

/// A fence as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandingFence {
    /// The database.
    pub database: DatabaseName,
    /// The round.
    pub id: FenceId,
    /// How long ago it was put up, here or at the node that sent it.
    pub age: Duration,
}

/// Fences by the time at which they were put up first, here or at the node that sent them.
///
/// Nodes exchange their fences, so a lifted one must not come back from a node that hasn't learned of
/// it yet. A received fence counts only if its round wasn't lifted here and it was put up after the last
/// fence around the database was lifted; it never makes a fence last longer. Times alone don't suffice:
/// a node that is farther away puts a fence up later than a nearer one lifts it.
#[derive(Clone, Debug, Default)]
pub struct Fences {
    standing: HashMap<DatabaseName, (FenceId, Timestamp)>,
    lifted: HashMap<DatabaseName, Timestamp>,
    /// When a fence was lifted that stood around a database, since that leads anew.
    led_anew: HashMap<DatabaseName, Timestamp>,
    lifted_rounds: HashMap<FenceId, Timestamp>,
}

impl Fences {
    /// Puts up a fence at `now`; false when its round was lifted before it reached this node.
    pub fn put_up(&mut self, now: Timestamp, database: DatabaseName, id: FenceId) -> bool {
        let is_recent = |at: &Timestamp| now.saturating_since(*at) < FENCE_HOLDS;
        self.standing.retain(|_, (_, began)| is_recent(began));
        self.lifted.retain(|_, lifted| is_recent(lifted));
        self.lifted_rounds.retain(|_, lifted| is_recent(lifted));
        if self.lifted_rounds.contains_key(&id) {
            return false;
        }
        self.standing.insert(database, (id, now));
        true
    }

    /// Records that another node has a fence.
    pub fn heard(&mut self, now: Timestamp, fence: StandingFence) {
        let began = now - fence.age;
        let lifted = self.lifted.get(&fence.database);
        let is_old = lifted.is_some_and(|lifted| *lifted >= began);
        if is_old || self.lifted_rounds.contains_key(&fence.id) {
            return;
        }
        let heard = (fence.id, began);
        let known = self.standing.entry(fence.database).or_insert(heard);
        if began > known.1 {
            *known = heard;
        }
    }

    /// Lifts a fence: the database leads.
    pub fn lift(&mut self, now: Timestamp, database: &DatabaseName) {
        if let Some((id, _)) = self.standing.remove(database) {
            self.lifted_rounds.insert(id, now);
            self.led_anew.insert(database.clone(), now);
        }
        self.lifted.insert(database.clone(), now);
    }

    /// Lifts the fence of one round, which may come late or again: the database isn't replaced, unless
    /// a later round is under way.
    pub fn lift_round(&mut self, now: Timestamp, database: &DatabaseName, id: FenceId) {
        if self
            .standing
            .get(database)
            .is_some_and(|(standing, _)| *standing == id)
        {
            self.standing.remove(database);
        }
        self.lifted_rounds.insert(id, now);
    }

    /// True when a database has been replaced and leads anew since `sent`: an answer to what was sent then
    /// may be one of its former lead, whose end may be missing from the log that it has now.
    pub fn led_anew_since(&self, sent: Timestamp, database: &DatabaseName) -> bool {
        self.led_anew.get(database).is_some_and(|at| *at >= sent)
    }

    /// The round of the fence around a database, if one stands.
    pub fn round(&self, now: Timestamp, database: &DatabaseName) -> Option<FenceId> {
        let standing = self.standing.get(database);
        let standing = standing.filter(|_| self.holds(now, database));
        standing.map(|(id, _)| *id)
    }

    /// True while a database mustn't be taken for a leader.
    pub fn holds(&self, now: Timestamp, database: &DatabaseName) -> bool {
        let standing = self.standing.get(database);
        standing.is_some_and(|(_, began)| now.saturating_since(*began) < FENCE_HOLDS)
    }

    /// The fences that stand.
    pub fn standing(&self, now: Timestamp) -> Vec<StandingFence> {
        let standing = self.standing.iter().map(|(database, (id, began))| {
            let age = now.saturating_since(*began);
            StandingFence {
                database: database.clone(),
                id: *id,
                age,
            }
        });
        standing.filter(|fence| fence.age < FENCE_HOLDS).collect()
    }
}
