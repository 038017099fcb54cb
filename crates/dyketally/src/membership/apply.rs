//! Applying updates to the member table.

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::engine::{Membership, Phase};
use super::member::{Incarnation, Record};
use super::message::Update;
use super::output::Event;
use super::table::{Entry, Status};

/// Time after the start in which a node attributes a greater incarnation under its own name to an earlier
/// process, and raises its own above it. Later, it attributes such an incarnation to a newer process that
/// replaces this one.
const PREDECESSOR_WINDOW: std::time::Duration = std::time::Duration::from_secs(10);

/// Result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// The update was new to this node.
    New,
    /// The update was already known, or cannot be used here.
    Known,
    /// The update is older than what this node knows.
    Outdated,
}

impl Membership {
    /// Applies one update; a new one is passed on to other nodes if `spread`.
    pub(super) fn apply(&mut self, now: Timestamp, update: Update, spread: bool) -> Applied {
        if update.node() == &self.own {
            return self.apply_to_self(now, &update);
        }
        let applied = match &update {
            Update::Alive(record) => self.apply_alive(now, record.clone()),
            Update::Renewed {
                node,
                incarnation,
                leaving,
            } => self.apply_renewed(now, node, *incarnation, *leaving),
            Update::Suspected {
                node,
                incarnation,
                by,
            } => self.apply_suspected(now, node, *incarnation, by),
            Update::Died { node, incarnation } => {
                self.apply_end(now, node, *incarnation, Status::Dead)
            }
            Update::Left { node, incarnation } => {
                self.apply_end(now, node, *incarnation, Status::Left)
            }
        };
        if applied == Applied::New {
            self.sync.record_change(now);
            self.state_version += 1;
            if spread {
                self.rumors.add(now, update);
            }
        }
        applied
    }

    /// Raises this node's own incarnation, above `above` if given, and marks the node as leaving if
    /// `leaving`.
    pub(super) fn renew_self(&mut self, now: Timestamp, above: Option<Incarnation>, leaving: bool) {
        let Some(mut record) = self.own_entry().map(|entry| entry.record.clone()) else {
            return;
        };
        let before = record.incarnation;
        record.incarnation = above.unwrap_or(before).max(before).next();
        record.leaving |= leaving;
        let update = if record.incarnation.started == before.started {
            renewal_of(&record)
        } else {
            Update::Alive(record.clone())
        };
        self.rumors.add(now, update);
        self.table.put(record, Status::Alive, now);
        self.state_version += 1;
    }

    fn apply_to_self(&mut self, now: Timestamp, update: &Update) -> Applied {
        let own = self.own_incarnation();
        let claimed = update.incarnation();
        if claimed < own {
            return Applied::Outdated;
        }
        let confirms_alive = matches!(update, Update::Alive(_) | Update::Renewed { .. });
        if claimed == own && confirms_alive {
            return Applied::Known;
        }
        if claimed.started > own.started && self.schedule.age(now) > PREDECESSOR_WINDOW {
            self.phase = Phase::Replaced;
            self.emit(Event::Replaced);
            return Applied::Known;
        }
        self.counters.refutations += 1;
        self.renew_self(now, Some(claimed), false);
        Applied::Known
    }

    fn apply_alive(&mut self, now: Timestamp, record: Record) -> Applied {
        match self.table.get(&record.node) {
            Some(entry) if !is_newer(entry, record.incarnation, record.leaving) => {
                outdated_or_known(entry, record.incarnation)
            }
            Some(entry) => {
                let old = entry.clone();
                self.replace_record(now, &old, record);
                Applied::New
            }
            None => self.add_member(now, record),
        }
    }

    fn apply_renewed(
        &mut self,
        now: Timestamp,
        node: &NodeName,
        incarnation: Incarnation,
        leaving: bool,
    ) -> Applied {
        let Some(old) = self.table.get(node).cloned() else {
            return Applied::Known;
        };
        if !is_newer(&old, incarnation, leaving) {
            return outdated_or_known(&old, incarnation);
        }
        if incarnation.started != old.record.incarnation.started {
            // This is a new process of the node; its addresses are unknown until its record arrives.
            return Applied::Known;
        }
        let record = Record {
            incarnation,
            leaving: leaving || old.record.leaving,
            ..old.record.clone()
        };
        self.replace_record(now, &old, record);
        Applied::New
    }

    fn add_member(&mut self, now: Timestamp, record: Record) -> Applied {
        if self.table.len() >= self.config.most_members {
            self.counters.members_refused += 1;
            return Applied::Known;
        }
        let node = record.node.clone();
        self.insert_live(now, record);
        self.emit(Event::Joined(node));
        Applied::New
    }

    fn replace_record(&mut self, now: Timestamp, old: &Entry, record: Record) {
        let node = record.node.clone();
        let same_process = record.incarnation.started == old.record.incarnation.started;
        let newly_leaving = record.leaving && !old.record.leaving;
        self.suspicions.close(&node);
        if old.status.is_live() && record.locality == old.record.locality {
            self.table.put(record, Status::Alive, now);
        } else {
            self.insert_live(now, record);
        }
        match old.status {
            _ if !same_process => self.emit(Event::Joined(node.clone())),
            Status::Dead | Status::Left => self.emit(Event::Returned(node.clone())),
            Status::Suspect => self.emit(Event::Refuted(node.clone())),
            Status::Alive => {}
        }
        if newly_leaving {
            self.emit(Event::Leaving(node));
        }
    }

    fn insert_live(&mut self, now: Timestamp, record: Record) {
        let (node, locality) = (record.node.clone(), record.locality.clone());
        self.table.put(record, Status::Alive, now);
        self.rings.insert(&node, &locality, &mut self.rng);
        if !self.is_of_own_region(&node) {
            self.regions.add(&locality.region, now);
        }
    }

    fn apply_suspected(
        &mut self,
        now: Timestamp,
        node: &NodeName,
        incarnation: Incarnation,
        by: &NodeName,
    ) -> Applied {
        let Some(entry) = self.table.get(node) else {
            return Applied::Known;
        };
        let known = entry.record.incarnation;
        if incarnation < known || !entry.status.is_live() {
            return Applied::Outdated;
        }
        if incarnation.started != known.started || !self.is_of_own_region(node) {
            return Applied::Known;
        }
        if entry.status == Status::Suspect && incarnation == known {
            let confirmed = self.suspicions.confirm(node, by, self.config.confirmations);
            return if confirmed {
                Applied::New
            } else {
                Applied::Known
            };
        }
        let mut record = entry.record.clone();
        record.incarnation = incarnation;
        self.table.put(record, Status::Suspect, now);
        self.suspicions.open(node, incarnation, by, now);
        if *by != self.own {
            let size = self.region_size();
            self.rings.add_suspect(node, size, &mut self.rng);
        }
        self.emit(Event::Suspected(node.clone()));
        Applied::New
    }

    fn apply_end(
        &mut self,
        now: Timestamp,
        node: &NodeName,
        incarnation: Incarnation,
        status: Status,
    ) -> Applied {
        let Some(entry) = self.table.get(node) else {
            return Applied::Known;
        };
        let known = entry.record.incarnation;
        if incarnation < known {
            return Applied::Outdated;
        }
        if incarnation == known && entry.status >= status {
            return Applied::Known;
        }
        let mut record = entry.record.clone();
        record.incarnation = incarnation;
        self.table.put(record, status, now);
        self.suspicions.close(node);
        self.emit(match status {
            Status::Left => Event::Left(node.clone()),
            _ => Event::Died(node.clone()),
        });
        Applied::New
    }
}

/// The short update for a record whose process other nodes already know.
pub(super) fn renewal_of(record: &Record) -> Update {
    Update::Renewed {
        node: record.node.clone(),
        incarnation: record.incarnation,
        leaving: record.leaving,
    }
}

/// True when an update is newer than `entry`. A process never revokes that it is leaving, so the first
/// announcement of that is new even at a known incarnation.
fn is_newer(entry: &Entry, incarnation: Incarnation, leaving: bool) -> bool {
    let known = &entry.record;
    let starts_leaving = leaving && !known.leaving && entry.status.is_live();
    incarnation > known.incarnation || (incarnation == known.incarnation && starts_leaving)
}

fn outdated_or_known(entry: &Entry, incarnation: Incarnation) -> Applied {
    if incarnation < entry.record.incarnation || !entry.status.is_live() {
        Applied::Outdated
    } else {
        Applied::Known
    }
}
