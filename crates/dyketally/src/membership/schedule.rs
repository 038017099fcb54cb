//! Periodic actions: probes, suspicions, deaths, joining and removal of old members.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::apply::Applied;
use super::config::Config;
use super::engine::Membership;
use super::message::{Body, Update};
use super::output::Event;
use super::probes::Probe;
use super::table::Status;

/// Time between two attempts to join.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two pings to join addresses of nodes that are not members, which may be the other part of
/// a split fleet.
const JOIN_ADDRESS_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two searches for members to remove from the table.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Chance that a joining node that knows members still sends its sync request to a join address.
const JOIN_ADDRESS_SHARE: f64 = 0.25;

/// When each periodic action is due.
#[derive(Debug)]
pub(super) struct Schedule {
    started: Timestamp,
    last_call: Timestamp,
    may_notify_at: Timestamp,
    next_probe: Timestamp,
    next_join: Timestamp,
    next_heal: Timestamp,
    next_forget: Timestamp,
}

impl Schedule {
    pub(super) fn new(config: &Config, now: Timestamp) -> Self {
        Self {
            started: now,
            last_call: now,
            may_notify_at: now,
            next_probe: now,
            next_join: now,
            next_heal: now + config.heal_interval,
            next_forget: now + FORGET_INTERVAL,
        }
    }

    /// Records the time of a call; gives the time since the last one.
    pub(super) fn advance(&mut self, now: Timestamp) -> Duration {
        let gap = now.saturating_since(self.last_call);
        self.last_call = self.last_call.max(now);
        gap
    }

    /// True when members may be notified at once; then false for the next `interval`.
    pub(super) fn may_notify(&mut self, interval: Duration, now: Timestamp) -> bool {
        let may_notify = self.may_notify_at <= now;
        if may_notify {
            self.may_notify_at = now + interval;
        }
        may_notify
    }

    /// Time since the start of this node.
    pub(super) fn age(&self, now: Timestamp) -> Duration {
        now.saturating_since(self.started)
    }

    pub(super) fn next_deadline(&self) -> Timestamp {
        self.next_probe.min(self.next_join).min(self.next_heal)
    }
}

/// True when `due` is reached; it is then set to a random time around `interval` later.
fn take_due(due: &mut Timestamp, interval: Duration, now: Timestamp, rng: &mut impl Rng) -> bool {
    if *due > now {
        return false;
    }
    *due = now + interval.mul_f64(rng.random_range(0.9..1.1));
    true
}

impl Membership {
    pub(super) fn run_schedule(&mut self, now: Timestamp) {
        self.ask_helpers(now);
        self.suspect_unanswered(now);
        self.declare_deaths(now);
        self.evaluate_regions(now);
        self.probe_if_due(now);
        self.heal_if_due(now);
        self.join_if_due(now);
        self.forget_if_due(now);
    }

    fn ask_helpers(&mut self, now: Timestamp) {
        for (sequence, target) in self.probes.needing_helpers(now) {
            let Some(address) = self.address_of(&target) else {
                continue;
            };
            self.counters.indirect_probes += 1;
            let count = self.config.helpers;
            let helpers = self
                .rings
                .helpers(&self.table, &target, count, &mut self.rng);
            for helper in helpers {
                let body = Body::IndirectPing {
                    sequence,
                    target: target.clone(),
                    address,
                };
                if let Some(to) = self.address_of(&helper) {
                    self.send_without_rumors(now, to, Some(&helper), body);
                }
            }
        }
    }

    fn suspect_unanswered(&mut self, now: Timestamp) {
        for Probe {
            target,
            incarnation,
            ..
        } in self.probes.take_failed(now)
        {
            // No suspicion is raised if a newer incarnation is known by now, or the target is dead.
            let unchanged = self.table.get(&target).is_some_and(|entry| {
                entry.status.is_live() && entry.record.incarnation == incarnation
            });
            if !unchanged {
                continue;
            }
            let update = Update::Suspected {
                node: target,
                incarnation,
                by: self.own.clone(),
            };
            if self.apply(now, update, true) == Applied::New {
                self.counters.suspicions += 1;
            }
        }
    }

    fn declare_deaths(&mut self, now: Timestamp) {
        let confirmers = self.possible_confirmers();
        for (node, incarnation) in self.suspicions.expired(&self.config, confirmers, now) {
            self.suspicions.close(&node);
            if self.apply(now, Update::Died { node, incarnation }, true) == Applied::New {
                self.counters.deaths_declared += 1;
            }
        }
    }

    fn evaluate_regions(&mut self, now: Timestamp) {
        for change in self.regions.evaluate(self.config.region_timeout, now) {
            self.state_version += 1;
            self.emit(if change.reachable {
                Event::RegionReachable(change.region)
            } else {
                Event::RegionUnreachable(change.region)
            });
        }
    }

    fn probe_if_due(&mut self, now: Timestamp) {
        let interval = self.config.probe_interval;
        if !take_due(&mut self.schedule.next_probe, interval, now, &mut self.rng) {
            return;
        }
        let size = self.region_size();
        if let Some(target) = self.rings.next_probe(&self.table, size, &mut self.rng) {
            self.probe(now, target);
        }
    }

    fn heal_if_due(&mut self, now: Timestamp) {
        let interval = self.config.heal_interval;
        if !take_due(&mut self.schedule.next_heal, interval, now, &mut self.rng) {
            return;
        }
        if self.table.dead() == 0 {
            return;
        }
        if let Some(target) = self.rings.next_dead(&self.table, &mut self.rng) {
            self.probe(now, target);
        }
    }

    fn probe(&mut self, now: Timestamp, target: NodeName) {
        let Some(entry) = self.table.get(&target) else {
            return;
        };
        let incarnation = entry.record.incarnation;
        let to = entry.record.addresses.membership;
        let with_helpers = entry.status.is_live() && self.is_of_own_region(&target);
        let sequence =
            self.probes
                .start(target.clone(), incarnation, with_helpers, &self.config, now);
        self.send(now, to, Some(&target), Body::Ping { sequence });
    }

    fn join_if_due(&mut self, now: Timestamp) {
        let settled = self.sync.joined && self.table.live() > 1;
        let interval = if settled {
            JOIN_ADDRESS_INTERVAL
        } else {
            JOIN_INTERVAL
        };
        if !take_due(&mut self.schedule.next_join, interval, now, &mut self.rng) {
            return;
        }
        if settled {
            self.probe_unknown_join_address(now);
        } else {
            self.try_to_join(now);
        }
    }

    fn try_to_join(&mut self, now: Timestamp) {
        let from_join_addresses = self.rng.random_bool(JOIN_ADDRESS_SHARE);
        let member = if from_join_addresses && !self.join_addresses.is_empty() {
            None
        } else {
            let members = self.rings.next_live(&self.table, 1, &mut self.rng);
            members.into_iter().next()
        };
        let address = match &member {
            Some(member) => self.address_of(member),
            None => self.join_addresses.choose(&mut self.rng).copied(),
        };
        if let Some(to) = address {
            self.send_sync_request(now, to, member.as_ref());
        }
    }

    /// Pings a join address of no live member. By this, two parts of a fleet that have removed each other
    /// from their tables find each other again.
    fn probe_unknown_join_address(&mut self, now: Timestamp) {
        let Some(address) = self.join_addresses.choose(&mut self.rng).copied() else {
            return;
        };
        let is_known = self
            .table
            .iter()
            .any(|entry| entry.status.is_live() && entry.record.addresses.membership == address);
        if is_known {
            return;
        }
        let sequence = self.probes.next_sequence();
        self.send(now, address, None, Body::Ping { sequence });
    }

    fn forget_if_due(&mut self, now: Timestamp) {
        let due = &mut self.schedule.next_forget;
        if !take_due(due, FORGET_INTERVAL, now, &mut self.rng) {
            return;
        }
        let limit = self.config.forget_after;
        let is_expired = |entry: &&super::table::Entry| {
            let old = now.saturating_since(entry.since) > limit;
            let region = &entry.record.locality.region;
            match entry.status {
                Status::Dead | Status::Left => old,
                Status::Alive | Status::Suspect => self.regions.silent_for(region, limit, now),
            }
        };
        let expired: Vec<NodeName> = self
            .table
            .iter()
            .filter(is_expired)
            .map(|entry| entry.record.node.clone())
            .collect();
        for node in expired {
            self.suspicions.close(&node);
            self.table.remove(&node);
            self.state_version += 1;
        }
    }
}
