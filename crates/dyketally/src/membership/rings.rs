//! The order in which members are probed: each member of a ring is probed once before any of them twice.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand::seq::SliceRandom;

use crate::identifiers::{Locality, NodeName, RegionName};

use super::table::{Entry, Status, Table};

/// Chance that a probe within the region goes to the own zone, if the region also has members in other
/// zones.
const OWN_ZONE_SHARE: f64 = 4.0 / 7.0;

/// Least and greatest chance that a probe goes to another region.
const LEAST_CROSS_REGION_SHARE: f64 = 1.0 / 8.0;
const GREATEST_CROSS_REGION_SHARE: f64 = 1.0 / 2.0;

/// Number of probes that all nodes of a region together send to each other region in one probe interval,
/// within the least and greatest share.
const CROSS_REGION_PROBES: f64 = 2.0;

/// Average number of nodes of the region that probe a suspected member out of turn.
const CONFIRMING_PROBES: f64 = 6.0;

/// The members that a ring holds.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Scope {
    OwnZone,
    OwnRegion,
    Region(RegionName),
    Dead,
    Live,
}

/// A shuffled sequence of members that is refilled when it runs out.
#[derive(Debug, Default)]
struct Ring {
    remaining: VecDeque<NodeName>,
}

/// All rings of one node.
#[derive(Debug)]
pub(super) struct Rings {
    own: NodeName,
    locality: Locality,
    zone: Ring,
    region: Ring,
    helpers: Ring,
    dead: Ring,
    live: Ring,
    /// Suspected members to probe out of turn.
    suspects: VecDeque<NodeName>,
    /// The last probe was allowed to be out of turn; the next one is not.
    last_out_of_turn: bool,
    others: BTreeMap<RegionName, Ring>,
    last_region: Option<RegionName>,
}

impl Rings {
    pub(super) fn new(own: NodeName, locality: Locality) -> Self {
        Self {
            own,
            locality,
            zone: Ring::default(),
            region: Ring::default(),
            helpers: Ring::default(),
            dead: Ring::default(),
            live: Ring::default(),
            suspects: VecDeque::new(),
            last_out_of_turn: false,
            others: BTreeMap::new(),
            last_region: None,
        }
    }

    /// Inserts a member that became live at a random position of the ring to which it belongs.
    pub(super) fn insert(&mut self, node: &NodeName, locality: &Locality, rng: &mut impl Rng) {
        let ring = if locality == &self.locality {
            &mut self.zone
        } else if locality.region == self.locality.region {
            &mut self.region
        } else {
            self.others.entry(locality.region.clone()).or_default()
        };
        let position = rng.random_range(0..=ring.remaining.len());
        ring.remaining.insert(position, node.clone());
    }

    /// The member to probe next.
    pub(super) fn next_probe(
        &mut self,
        table: &Table,
        region_size: usize,
        rng: &mut impl Rng,
    ) -> Option<NodeName> {
        if let Some(suspect) = self.next_suspect(table) {
            return Some(suspect);
        }
        let cross = rng.random_bool(self.cross_region_share(region_size));
        if cross {
            let other = self.next_of_other_region(table, rng);
            return other.or_else(|| self.next_of_own_region(table, rng));
        }
        let own = self.next_of_own_region(table, rng);
        own.or_else(|| self.next_of_other_region(table, rng))
    }

    /// Handles the suspicion of a member of this region by another node. A few nodes, selected at random,
    /// probe the member out of turn, so that it is soon either confirmed dead or known to be reachable.
    pub(super) fn add_suspect(&mut self, node: &NodeName, region_size: usize, rng: &mut impl Rng) {
        let share = CONFIRMING_PROBES / region_size.max(1) as f64;
        if rng.random_bool(share.min(1.0)) {
            self.suspects.push_back(node.clone());
        }
    }

    /// The next suspected member to probe out of turn. Only every other probe may be out of turn, so that
    /// many suspicions at once do not keep other deaths from being detected.
    fn next_suspect(&mut self, table: &Table) -> Option<NodeName> {
        self.last_out_of_turn = !self.last_out_of_turn;
        if !self.last_out_of_turn {
            return None;
        }
        let is_open = |node: &NodeName| {
            let entry = table.get(node);
            entry.is_some_and(|entry| entry.status == Status::Suspect)
        };
        while let Some(node) = self.suspects.pop_front() {
            if is_open(&node) {
                return Some(node);
            }
        }
        None
    }

    /// Up to `count` members of this region other than `target`.
    pub(super) fn helpers(
        &mut self,
        table: &Table,
        target: &NodeName,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<NodeName> {
        let mut chosen: Vec<NodeName> = Vec::new();
        // One more than needed, because the target itself may be selected.
        for _ in 0..=count {
            let filter = self.filter(Scope::OwnRegion);
            let Some(helper) = self.helpers.next(table, filter, rng) else {
                break;
            };
            let fresh = helper != *target && !chosen.contains(&helper);
            if fresh && chosen.len() < count {
                chosen.push(helper);
            }
        }
        chosen
    }

    /// A member that was declared dead.
    pub(super) fn next_dead(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        let filter = self.filter(Scope::Dead);
        self.dead.next(table, filter, rng)
    }

    /// Up to `count` live members of any region.
    pub(super) fn next_live(
        &mut self,
        table: &Table,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<NodeName> {
        let filter = self.filter(Scope::Live);
        let members = (0..count).map_while(|_| self.live.next(table, &filter, rng));
        members.collect()
    }

    fn next_of_own_region(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        if rng.random_bool(OWN_ZONE_SHARE) {
            let first = self.next_of_zone(table, rng);
            return first.or_else(|| self.next_of_region(table, rng));
        }
        let first = self.next_of_region(table, rng);
        first.or_else(|| self.next_of_zone(table, rng))
    }

    fn next_of_zone(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        let filter = self.filter(Scope::OwnZone);
        self.zone.next(table, filter, rng)
    }

    /// A member of another zone of the region.
    fn next_of_region(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        let zone = self.locality.zone.clone();
        let in_region = self.filter(Scope::OwnRegion);
        let filter = move |entry: &Entry| in_region(entry) && entry.record.locality.zone != zone;
        self.region.next(table, filter, rng)
    }

    /// A member of another region; the regions take turns.
    fn next_of_other_region(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        for _ in 0..self.others.len() {
            let region = self.next_region_in_turn()?;
            let filter = self.filter(Scope::Region(region.clone()));
            let ring = self.others.get_mut(&region)?;
            if let Some(node) = ring.next(table, filter, rng) {
                return Some(node);
            }
        }
        None
    }

    fn next_region_in_turn(&mut self) -> Option<RegionName> {
        let after_last = self.last_region.as_ref().and_then(|last| {
            let mut regions = self.others.keys();
            regions.find(|region| *region > last)
        });
        let region = after_last.or_else(|| self.others.keys().next())?.clone();
        self.last_region = Some(region.clone());
        Some(region)
    }

    fn cross_region_share(&self, region_size: usize) -> f64 {
        let wanted = CROSS_REGION_PROBES * self.others.len() as f64;
        let share = wanted / region_size.max(1) as f64;
        share.clamp(LEAST_CROSS_REGION_SHARE, GREATEST_CROSS_REGION_SHARE)
    }

    fn filter(&self, scope: Scope) -> impl Fn(&Entry) -> bool + use<> {
        let (own, locality) = (self.own.clone(), self.locality.clone());
        move |entry| {
            let record = &entry.record;
            if record.node == own {
                return false;
            }
            let live = entry.status.is_live();
            match &scope {
                Scope::OwnZone => live && record.locality == locality,
                Scope::OwnRegion => live && record.locality.region == locality.region,
                Scope::Region(region) => live && record.locality.region == *region,
                Scope::Dead => entry.status == Status::Dead,
                Scope::Live => live,
            }
        }
    }
}

impl Ring {
    fn next(
        &mut self,
        table: &Table,
        belongs: impl Fn(&Entry) -> bool,
        rng: &mut impl Rng,
    ) -> Option<NodeName> {
        let known = |node: &NodeName| table.get(node).is_some_and(&belongs);
        while let Some(node) = self.remaining.pop_front() {
            if known(&node) {
                return Some(node);
            }
        }
        self.refill(table, belongs, rng);
        self.remaining.pop_front()
    }

    fn refill(&mut self, table: &Table, belongs: impl Fn(&Entry) -> bool, rng: &mut impl Rng) {
        let members = table.iter().filter(|entry| belongs(entry));
        let mut order: Vec<_> = members.map(|entry| entry.record.node.clone()).collect();
        order.shuffle(rng);
        self.remaining = order.into();
    }
}
