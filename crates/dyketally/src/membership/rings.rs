//! The order in which members are probed: each member of a ring once before any of them twice.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand::seq::SliceRandom;

use crate::identifiers::{Locality, NodeName, RegionName};

use super::table::{Entry, Status, Table};

/// Chance of a probe within the region to stay within the zone, where both are possible.
const OWN_ZONE_SHARE: f64 = 4.0 / 7.0;

/// Least and greatest chance of a probe to go to another region.
const LEAST_CROSS_REGION_SHARE: f64 = 1.0 / 8.0;
const GREATEST_CROSS_REGION_SHARE: f64 = 1.0 / 2.0;

/// Probes to each other region that a region as a whole makes in one interval, where the shares
/// above allow.
const CROSS_REGION_PROBES: f64 = 2.0;

/// Nodes of the region that probe a suspected member out of turn, on average.
const CONFIRMING_PROBES: f64 = 6.0;

/// What a ring holds.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Scope {
    OwnZone,
    OwnRegion,
    Region(RegionName),
    Dead,
    Any,
}

/// A shuffled sequence of members that is refilled when it runs out.
#[derive(Debug, Default)]
struct Ring {
    left: VecDeque<NodeName>,
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
    any: Ring,
    /// Suspected members to probe out of turn.
    suspects: VecDeque<NodeName>,
    /// The last probe was out of turn; the next one is not.
    out_of_turn: bool,
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
            any: Ring::default(),
            suspects: VecDeque::new(),
            out_of_turn: false,
            others: BTreeMap::new(),
            last_region: None,
        }
    }

    /// Puts a member that became live at a random place of the ring it belongs to.
    pub(super) fn insert(&mut self, node: &NodeName, locality: &Locality, rng: &mut impl Rng) {
        let ring = if locality == &self.locality {
            &mut self.zone
        } else if locality.region == self.locality.region {
            &mut self.region
        } else {
            self.others.entry(locality.region.clone()).or_default()
        };
        let place = rng.random_range(0..=ring.left.len());
        ring.left.insert(place, node.clone());
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

    /// A member of this region was suspected by another node. A few nodes, drawn at random, probe
    /// it out of turn, so that it is either confirmed dead soon or known to be reachable.
    pub(super) fn suspect(&mut self, node: &NodeName, region_size: usize, rng: &mut impl Rng) {
        let share = CONFIRMING_PROBES / region_size.max(1) as f64;
        if rng.random_bool(share.min(1.0)) {
            self.suspects.push_back(node.clone());
        }
    }

    /// Every other probe may be out of turn, so that a wave of suspicions hides no other death.
    fn next_suspect(&mut self, table: &Table) -> Option<NodeName> {
        self.out_of_turn = !self.out_of_turn;
        if !self.out_of_turn {
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
        // One more than needed, since the target itself may be drawn.
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

    /// A member that is held dead.
    pub(super) fn next_dead(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        let filter = self.filter(Scope::Dead);
        self.dead.next(table, filter, rng)
    }

    /// Up to `count` live members of any region.
    pub(super) fn any(&mut self, table: &Table, count: usize, rng: &mut impl Rng) -> Vec<NodeName> {
        let filter = self.filter(Scope::Any);
        let draw = (0..count).map_while(|_| self.any.next(table, &filter, rng));
        draw.collect()
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

    /// A member of the region; mostly of its other zones, as the ring's insertions are.
    fn next_of_region(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        let zone = self.locality.zone.clone();
        let in_region = self.filter(Scope::OwnRegion);
        let filter = move |entry: &Entry| in_region(entry) && entry.record.locality.zone != zone;
        self.region.next(table, filter, rng)
    }

    /// The regions take turns.
    fn next_of_other_region(&mut self, table: &Table, rng: &mut impl Rng) -> Option<NodeName> {
        for _ in 0..self.others.len() {
            let region = self.turn()?;
            let filter = self.filter(Scope::Region(region.clone()));
            let ring = self.others.get_mut(&region)?;
            if let Some(node) = ring.next(table, filter, rng) {
                return Some(node);
            }
        }
        None
    }

    fn turn(&mut self) -> Option<RegionName> {
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
                Scope::Any => live,
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
        while let Some(node) = self.left.pop_front() {
            if known(&node) {
                return Some(node);
            }
        }
        self.refill(table, belongs, rng);
        self.left.pop_front()
    }

    fn refill(&mut self, table: &Table, belongs: impl Fn(&Entry) -> bool, rng: &mut impl Rng) {
        let members = table.iter().filter(|entry| belongs(entry));
        let mut order: Vec<_> = members.map(|entry| entry.record.node.clone()).collect();
        order.shuffle(rng);
        self.left = order.into();
    }
}
