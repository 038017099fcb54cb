//! The databases of each group that may hold acknowledged commits which no other database holds.
//!
//! Where a commit is acknowledged once some replicas have received it, the nodes don't learn which replicas these were.
//! Before a successor is appointed for a lost primary, so many logs have to be known that one of them holds each
//! acknowledged commit. What counts is who may have received commits while the primary led, not who is left: a database
//! that has ended, or that has started again without its log, may have been the one that acknowledged the last of them.
//! It therefore stays in the set until a primary is seen to lead without it, see [`LogHolders::retire`].
//!
//! A database that joins too much is harmless: it raises the number of logs that are needed by one, and so does its
//! log the number of those that are known.

use std::collections::{BTreeMap, BTreeSet};

use super::Incarnation;
use crate::identifiers::{DatabaseName, GroupName};

/// One life of a database. A database that starts again without its log begins another one, also under the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DatabaseLife {
    /// The database.
    pub database: DatabaseName,
    /// When this life began; `None` if the database doesn't tell.
    pub incarnation: Option<Incarnation>,
}

/// The lives of databases that may hold acknowledged commits, by group.
#[derive(Clone, Debug, Default)]
pub struct LogHolders {
    groups: BTreeMap<GroupName, BTreeSet<DatabaseLife>>,
}

impl LogHolders {
    /// Records that `life` is announced in `group`, so that it may receive commits from now on.
    pub fn joined(&mut self, group: &GroupName, life: DatabaseLife) {
        let holders = match self.groups.get_mut(group) {
            Some(holders) if holders.contains(&life) => return,
            Some(holders) => holders,
            None => self.groups.entry(group.clone()).or_default(),
        };
        // An announcement that tells the begin of a life for the first time doesn't show that a new one has begun.
        if life.incarnation.is_some() {
            holders.remove(&DatabaseLife {
                incarnation: None,
                ..life.clone()
            });
        }
        holders.insert(life);
    }

    /// How many databases of `group` may hold acknowledged commits, the primary included.
    pub fn count(&self, group: &GroupName) -> usize {
        self.groups.get(group).map_or(0, BTreeSet::len)
    }

    /// The databases of `group` that may hold acknowledged commits.
    pub fn of<'a>(&'a self, group: &GroupName) -> impl Iterator<Item = &'a DatabaseLife> + use<'a> {
        self.groups.get(group).into_iter().flatten()
    }

    /// Removes `lives` from `group`. Allowed once these have ended, a primary has been seen to lead after that, and
    /// as many of the other replicas as acknowledge a commit have received the log that this primary had then: all
    /// earlier commits are on these, and later ones can't have been acknowledged by the lives that have ended.
    pub fn retire(&mut self, group: &GroupName, lives: &[DatabaseLife]) {
        let Some(holders) = self.groups.get_mut(group) else {
            return;
        };
        holders.retain(|holder| !lives.contains(holder));
        if holders.is_empty() {
            self.groups.remove(group);
        }
    }

    /// The groups with holders.
    pub fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.groups.keys()
    }
}
