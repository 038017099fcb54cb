//! Fences that stand at this node: databases that it must no longer take for the leader of their group,
//! since they are being replaced. Who puts up fences on all nodes is succession's concern.

use std::time::Duration;

use dyketally::failover::{FenceId, StandingFence};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use tokio::time::Instant;

use super::Databases;
use crate::event::Event;

impl Databases {
    /// Puts up a fence around `database`; false when it has answered this node since it was suspected
    /// `suspected` ago, so that it shouldn't be replaced, or the round is over.
    pub fn fence(&self, database: &DatabaseName, id: FenceId, suspected: Duration) -> bool {
        !self.has_answered_within(database, suspected)
            && self.put_up_fence(database.clone(), id, "a node")
    }

    /// Puts up a fence around `database`, requested by `source`; false when the round is over.
    pub fn put_up_fence(&self, database: DatabaseName, id: FenceId, source: &str) -> bool {
        let stood = self.is_fenced(&database);
        let now = self.cx.now();
        let mut fences = self.fences.borrow_mut();
        let stands = fences.put_up(now, database.clone(), id);
        drop(fences);
        if stands && !stood {
            self.log_fence(&database, source);
        }
        self.cx.changes.notify();
        stands
    }

    /// True while `database` mustn't be taken for a leader.
    pub fn is_fenced(&self, database: &DatabaseName) -> bool {
        self.fences.borrow().holds(self.cx.now(), database)
    }

    /// The round of the fence around `database`, if one stands here.
    pub fn fence_round(&self, database: &DatabaseName) -> Option<FenceId> {
        self.fences.borrow().round(self.cx.now(), database)
    }

    /// True when `database` has been replaced and leads anew since `sent`.
    pub fn led_anew_since(&self, sent: Timestamp, database: &DatabaseName) -> bool {
        self.fences.borrow().led_anew_since(sent, database)
    }

    /// The fences that stand here, with their ages.
    pub fn standing_fences(&self) -> Vec<StandingFence> {
        self.fences.borrow().standing(self.cx.now())
    }

    /// Records fences that have stood at `source` for some time.
    pub fn heard_of_fences(&self, fenced: impl IntoIterator<Item = StandingFence>, source: &str) {
        let now = self.cx.now();
        for fence in fenced {
            let database = fence.database.clone();
            let stood = self.is_fenced(&database);
            self.fences.borrow_mut().heard(now, fence);
            if !stood && self.is_fenced(&database) {
                self.log_fence(&database, source);
            }
        }
    }

    fn log_fence(&self, database: &DatabaseName, source: &str) {
        self.cx.events.write(&Event::FencePutUp {
            database: database.as_str(),
            source,
        });
    }

    /// Lifts all fences around `database`.
    pub fn lift_fence(&self, database: &DatabaseName) {
        if self.is_fenced(database) {
            self.log_lifted_fence(database);
        }
        self.fences.borrow_mut().lift(self.cx.now(), database);
        self.cx.changes.notify();
    }

    /// Records that the round of a fence is over and `database` isn't replaced by it.
    pub fn lift_round(&self, database: &DatabaseName, id: FenceId) {
        let stood = self.is_fenced(database);
        let mut fences = self.fences.borrow_mut();
        fences.lift_round(self.cx.now(), database, id);
        drop(fences);
        if stood && !self.is_fenced(database) {
            self.log_lifted_fence(database);
        }
        self.cx.changes.notify();
    }

    fn log_lifted_fence(&self, database: &DatabaseName) {
        self.cx.events.write(&Event::FenceLifted {
            database: database.as_str(),
        });
    }

    fn has_answered_within(&self, database: &DatabaseName, age: Duration) -> bool {
        let target = self.known_target(database);
        let since = Instant::now().checked_sub(age);
        match (target, since) {
            (Some(target), Some(since)) => target.state.answered_since(since),
            _ => false,
        }
    }
}
