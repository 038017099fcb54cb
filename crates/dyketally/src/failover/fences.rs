//! The fences of one node: the databases that it does not treat as leaders because they are being replaced.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::group_fence::group_fence;
use crate::directory::{Directory, Member};
use crate::group::Role;
use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

/// Time after which a fence that is never cleared expires.
pub const FENCE_LIFETIME: Duration = Duration::from_secs(8);

/// Identifies one round of fences around a database. The number is chosen at random when the round begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FenceId(pub u64);

/// A fence as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveFence {
    /// The fenced database.
    pub database: DatabaseName,
    /// The round that set the fence.
    pub id: FenceId,
    /// Time since the fence was set, at this node or at the node that sent it.
    pub age: Duration,
}

/// The fences of one node, with the time at which each was first set, at this node or at the sender.
///
/// Nodes exchange their fences, so a fence that was cleared here must not be set again by a node that hasn't
/// received the clearing yet. A received fence counts only if its round wasn't cleared here and if it was set
/// after the last fence around the database was cleared; repeated copies never extend a fence. Comparing times
/// is not enough: a distant node may set a fence later than a nearer node clears it.
#[derive(Clone, Debug, Default)]
pub struct Fences {
    /// Round and start of the last fence around each database; may have expired.
    active: HashMap<DatabaseName, (FenceId, Timestamp)>,
    /// When a database was last found to lead, which clears its fence.
    cleared: HashMap<DatabaseName, Timestamp>,
    /// When a database that was fenced was last found to lead.
    regained_lead: HashMap<DatabaseName, Timestamp>,
    /// When each round was cleared.
    cleared_rounds: HashMap<FenceId, Timestamp>,
}

impl Fences {
    /// Sets a fence at `now`; false when its round was cleared before it reached this node.
    pub fn set(&mut self, now: Timestamp, database: DatabaseName, id: FenceId) -> bool {
        let is_recent = |at: &Timestamp| now.saturating_since(*at) < FENCE_LIFETIME;
        self.active.retain(|_, (_, began)| is_recent(began));
        self.cleared.retain(|_, cleared| is_recent(cleared));
        self.cleared_rounds.retain(|_, cleared| is_recent(cleared));
        if self.cleared_rounds.contains_key(&id) {
            return false;
        }
        self.active.insert(database, (id, now));
        true
    }

    /// Adopts a fence received from another node, unless it was cleared here or a fence as recent is known.
    pub fn merge(&mut self, now: Timestamp, fence: ActiveFence) {
        let began = now - fence.age;
        let cleared = self.cleared.get(&fence.database);
        let is_old = cleared.is_some_and(|cleared| *cleared >= began);
        if is_old || self.cleared_rounds.contains_key(&fence.id) {
            return;
        }
        let received = (fence.id, began);
        let known = self.active.entry(fence.database).or_insert(received);
        if began > known.1 {
            *known = received;
        }
    }

    /// Clears the fence around a database because the database leads.
    pub fn clear(&mut self, now: Timestamp, database: &DatabaseName) {
        if let Some((id, _)) = self.active.remove(database) {
            self.cleared_rounds.insert(id, now);
            self.regained_lead.insert(database.clone(), now);
        }
        self.cleared.insert(database.clone(), now);
    }

    /// Clears the fence of one round because that round replaces no database. A fence of a later round around
    /// the database stays. Late and repeated calls are harmless.
    pub fn clear_round(&mut self, now: Timestamp, database: &DatabaseName, id: FenceId) {
        if self
            .active
            .get(database)
            .is_some_and(|(active, _)| *active == id)
        {
            self.active.remove(database);
        }
        self.cleared_rounds.insert(id, now);
    }

    /// True when a fenced database has regained the lead at or after `sent`. An answer to a request sent then
    /// may stem from the database's earlier lead, and the last entries of that lead may be missing from its
    /// current log.
    pub fn regained_lead_since(&self, sent: Timestamp, database: &DatabaseName) -> bool {
        self.regained_lead
            .get(database)
            .is_some_and(|at| *at >= sent)
    }

    /// The round of the fence around a database, if one is in force.
    pub fn round(&self, now: Timestamp, database: &DatabaseName) -> Option<FenceId> {
        let fence = self.active.get(database);
        let fence = fence.filter(|_| self.is_fenced(now, database));
        fence.map(|(id, _)| *id)
    }

    /// True while a fence is in force around the database: it must not be treated as a leader.
    pub fn is_fenced(&self, now: Timestamp, database: &DatabaseName) -> bool {
        let fence = self.active.get(database);
        fence.is_some_and(|(_, began)| now.saturating_since(*began) < FENCE_LIFETIME)
    }

    /// True while a fence around `member`, or around another database of its group, forbids to treat it as a leader.
    ///
    /// A database that is lost may return under another name before its successor leads. A fence therefore also
    /// holds for each database of the group that was the primary or wasn't listed when the fence was set, until that
    /// database is promoted.
    pub fn hold_for(&self, now: Timestamp, directory: &Directory, member: &Member) -> bool {
        if self.active.is_empty() {
            return false;
        }
        if self.is_fenced(now, member.name()) || self.group_fence_holds_for(now, member) {
            return true;
        }
        let mut others = directory.members(&member.announcement.group);
        others.any(|other| {
            let fence = self.active.get(other.name());
            let fence = fence.filter(|_| self.is_fenced(now, other.name()));
            fence.is_some_and(|(_, began)| may_be_renamed(member, *began))
        })
    }

    /// True while a fence around the group of `member` holds for it: the coordinator hasn't reported since then that it
    /// leads. What the database itself announces doesn't count, as another one may lead in a later term.
    fn group_fence_holds_for(&self, now: Timestamp, member: &Member) -> bool {
        let name = group_fence(&member.announcement.group);
        let fence = self.active.get(&name);
        let fence = fence.filter(|_| self.is_fenced(now, &name));
        fence.is_some_and(|(_, began)| member.reported_at.is_none_or(|at| at < *began))
    }

    /// The fences in force.
    pub fn active(&self, now: Timestamp) -> Vec<ActiveFence> {
        let fences = self.active.iter().map(|(database, (id, began))| {
            let age = now.saturating_since(*began);
            ActiveFence {
                database: database.clone(),
                id: *id,
                age,
            }
        });
        fences.filter(|fence| fence.age < FENCE_LIFETIME).collect()
    }
}

/// True when `member` may be a primary for which a fence was set at `fenced`, under another name.
fn may_be_renamed(member: &Member, fenced: Timestamp) -> bool {
    if member.promoted_at.is_some_and(|at| at >= fenced) {
        return false;
    }
    member.announcement.role == Role::Primary || member.listed_since > fenced
}
