//! Zones whose databases get nothing more, by the operators' request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::identifiers::ZoneName;
use crate::time::Timestamp;

/// The zones that are evacuated, and since when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Since>,
}

/// Since when a zone has been evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Since {
    /// The request came at this time.
    Requested(Timestamp),
    /// The request stood already when this node looked, perhaps for long.
    Unknown,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// A zone is evacuated from now on.
    Began(ZoneName),
    /// A zone is used again.
    Ended(ZoneName),
}

impl Evacuations {
    /// Records a request to evacuate a zone. One that is known already keeps its time.
    pub fn requested(&mut self, now: Timestamp, zone: ZoneName) -> Option<EvacuationChange> {
        if self.zones.contains_key(&zone) {
            return None;
        }
        self.zones.insert(zone.clone(), Since::Requested(now));
        Some(EvacuationChange::Began(zone))
    }

    /// Records that a zone is taken back.
    pub fn taken_back(&mut self, zone: &ZoneName) -> Option<EvacuationChange> {
        let removed = self.zones.remove(zone);
        removed.map(|_| EvacuationChange::Ended(zone.clone()))
    }

    /// Records all requests that stand: those it lacks were taken back. A request that is new here
    /// may be old: the node has just started, or heard nothing for a while.
    pub fn replaced(&mut self, standing: &BTreeSet<ZoneName>) -> Vec<EvacuationChange> {
        let ended = self.zones.keys().filter(|zone| !standing.contains(*zone));
        let ended: Vec<ZoneName> = ended.cloned().collect();
        let mut changes: Vec<EvacuationChange> = Vec::new();
        changes.extend(ended.iter().filter_map(|zone| self.taken_back(zone)));
        for zone in standing {
            if !self.contains(zone) {
                self.zones.insert(zone.clone(), Since::Unknown);
                changes.push(EvacuationChange::Began(zone.clone()));
            }
        }
        changes
    }

    /// For how long a zone has been evacuated, if it is; the longest time there is if that isn't known.
    pub fn evacuated_for(&self, zone: &ZoneName, now: Timestamp) -> Option<Duration> {
        Some(match self.zones.get(zone)? {
            Since::Requested(at) => now.saturating_since(*at),
            Since::Unknown => Duration::MAX,
        })
    }

    /// True while a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// The zones that are evacuated.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }
}
