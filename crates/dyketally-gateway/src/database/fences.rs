//! Fences at this node: while a database is fenced, this node must not treat it as the leader of its group,
//! since it is being replaced. Succession sets and clears fences on all nodes.

use std::time::Duration;

use dyketally::directory::Member;
use dyketally::failover::{ActiveFence, FenceId};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use tokio::time::Instant;

use super::Databases;
use crate::event::Event;

impl Databases {
    /// Sets a fence of round `id` around `database`, which came under suspicion `suspected` ago. Returns false,
    /// without a fence, if the database has answered this node since then and so shouldn't be replaced, or if
    /// the round is over.
    pub fn set_fence_unless_answered(
        &self,
        database: &DatabaseName,
        id: FenceId,
        suspected: Duration,
    ) -> bool {
        !self.has_answered_within(database, suspected)
            && self.set_fence(database.clone(), id, "a node")
    }

    /// Sets a fence of round `id` around `database`, as requested by `source`; false if the round is over.
    pub fn set_fence(&self, database: DatabaseName, id: FenceId, source: &str) -> bool {
        let was_fenced = self.is_named_by_fence(&database);
        let now = self.cx.now();
        let mut fences = self.fences.borrow_mut();
        let is_set = fences.set(now, database.clone(), id);
        drop(fences);
        if is_set && !was_fenced {
            self.log_fence_set(&database, source);
        }
        self.cx.changes.notify();
        is_set
    }

    /// True while `database` must not be treated as the leader of its group, because of a fence around it or around
    /// another database of the group.
    pub fn is_fenced(&self, database: &DatabaseName) -> bool {
        match self.directory.borrow().member(database) {
            Some(member) => self.is_member_fenced(member),
            None => self.is_named_by_fence(database),
        }
    }

    /// As [`Databases::is_fenced`], for a member of the directory.
    pub(super) fn is_member_fenced(&self, member: &Member) -> bool {
        let fences = self.fences.borrow();
        fences.hold_for(self.cx.now(), &self.directory.borrow(), member)
    }

    /// True while a fence names `database`.
    fn is_named_by_fence(&self, database: &DatabaseName) -> bool {
        self.fences.borrow().is_fenced(self.cx.now(), database)
    }

    /// Records that the failover coordinator found that `database` leads its group.
    pub fn record_promoted(&self, database: &DatabaseName) {
        let now = self.cx.now();
        self.directory.borrow_mut().promoted(now, database);
        self.clear_fence(database);
    }

    /// The round of the fence around `database`; `None` if the database isn't fenced at this node.
    pub fn fence_round(&self, database: &DatabaseName) -> Option<FenceId> {
        self.fences.borrow().round(self.cx.now(), database)
    }

    /// True when a fence around `database` was cleared at or after `sent` because it leads again.
    pub fn regained_lead_since(&self, sent: Timestamp, database: &DatabaseName) -> bool {
        self.fences.borrow().regained_lead_since(sent, database)
    }

    /// The fences in force at this node, with their ages.
    pub fn active_fences(&self) -> Vec<ActiveFence> {
        self.fences.borrow().active(self.cx.now())
    }

    /// Adds fences that are in force at the node or relay `source`.
    pub fn merge_fences(&self, fenced: impl IntoIterator<Item = ActiveFence>, source: &str) {
        let now = self.cx.now();
        for fence in fenced {
            let database = fence.database.clone();
            let was_fenced = self.is_named_by_fence(&database);
            self.fences.borrow_mut().merge(now, fence);
            if !was_fenced && self.is_named_by_fence(&database) {
                self.log_fence_set(&database, source);
            }
        }
    }

    fn log_fence_set(&self, database: &DatabaseName, source: &str) {
        self.cx.events.write(&Event::FencePutUp {
            database: database.as_str(),
            source,
        });
    }

    /// Clears all fences around `database`, which leads its group.
    pub fn clear_fence(&self, database: &DatabaseName) {
        if self.is_named_by_fence(database) {
            self.log_fence_cleared(database);
        }
        self.fences.borrow_mut().clear(self.cx.now(), database);
        self.cx.changes.notify();
    }

    /// Clears the fence of round `id` around `database`: the round ended without a replacement.
    pub fn clear_fence_round(&self, database: &DatabaseName, id: FenceId) {
        let was_fenced = self.is_named_by_fence(database);
        let mut fences = self.fences.borrow_mut();
        fences.clear_round(self.cx.now(), database, id);
        drop(fences);
        if was_fenced && !self.is_named_by_fence(database) {
            self.log_fence_cleared(database);
        }
        self.cx.changes.notify();
    }

    fn log_fence_cleared(&self, database: &DatabaseName) {
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
