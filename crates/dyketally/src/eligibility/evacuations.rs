//! The zones that operators have requested to evacuate: their databases get no more statements.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::identifiers::ZoneName;
use crate::time::Timestamp;

/// The evacuated zones, each with the start of its evacuation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Start>,
}

/// Since when a zone has been evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// This node received the request at this time.
    Requested(Timestamp),
    /// The request was already active when this node read the list of requests; its age is unknown.
    Unknown,
}

/// A change to the set of evacuated zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of this zone has begun.
    Began(ZoneName),
    /// The evacuation of this zone has ended: its databases are used again.
    Ended(ZoneName),
}

impl Evacuations {
    /// Records a request to evacuate a zone. A request that is already known keeps its start.
    pub fn record_request(&mut self, now: Timestamp, zone: ZoneName) -> Option<EvacuationChange> {
        if self.zones.contains_key(&zone) {
            return None;
        }
        self.zones.insert(zone.clone(), Start::Requested(now));
        Some(EvacuationChange::Began(zone))
    }

    /// Records that the request to evacuate a zone was withdrawn.
    pub fn record_cancelled(&mut self, zone: &ZoneName) -> Option<EvacuationChange> {
        let removed = self.zones.remove(zone);
        removed.map(|_| EvacuationChange::Ended(zone.clone()))
    }

    /// Replaces the requests by the `active` ones; requests that are missing from it were withdrawn. The age of
    /// a request that is new to this node is unknown: the node may have just started, or been without contact.
    pub fn replace_all(&mut self, active: &BTreeSet<ZoneName>) -> Vec<EvacuationChange> {
        let ended = self.zones.keys().filter(|zone| !active.contains(*zone));
        let ended: Vec<ZoneName> = ended.cloned().collect();
        let mut changes: Vec<EvacuationChange> = Vec::new();
        changes.extend(ended.iter().filter_map(|zone| self.record_cancelled(zone)));
        for zone in active {
            if !self.contains(zone) {
                self.zones.insert(zone.clone(), Start::Unknown);
                changes.push(EvacuationChange::Began(zone.clone()));
            }
        }
        changes
    }

    /// Time since the evacuation of a zone began; [`Duration::MAX`] if its start is unknown, `None` if the zone
    /// isn't evacuated.
    pub fn evacuated_for(&self, zone: &ZoneName, now: Timestamp) -> Option<Duration> {
        Some(match self.zones.get(zone)? {
            Start::Requested(at) => now.saturating_since(*at),
            Start::Unknown => Duration::MAX,
        })
    }

    /// True while a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// The evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }
}
