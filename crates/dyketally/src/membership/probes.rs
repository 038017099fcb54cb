//! Pending probes: those of this node, and those that it makes for other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::config::Config;
use super::member::Incarnation;

/// Most pending probes made for other nodes.
const MAX_RELAYED: usize = 256;

/// A probe of a member.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: NodeName,
    pub(super) incarnation: Incarnation,
    /// When helpers are requested to probe; `None` once they were, or when no helpers are used.
    pub(super) helpers_due_at: Option<Timestamp>,
    /// When the probe fails if it has not been acknowledged.
    pub(super) fails_at: Timestamp,
}

/// A probe made for another node.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub(super) origin: SocketAddr,
    pub(super) origin_sequence: u32,
    expires_at: Timestamp,
}

/// All pending probes, by sequence number.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_sequence: u32,
    own: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

impl Probes {
    /// Starts a probe of `target`; gives its sequence number.
    pub(super) fn start(
        &mut self,
        target: NodeName,
        incarnation: Incarnation,
        with_helpers: bool,
        config: &Config,
        now: Timestamp,
    ) -> u32 {
        let sequence = self.next_sequence();
        let probe = Probe {
            target,
            incarnation,
            helpers_due_at: with_helpers.then_some(now + config.direct_timeout),
            fails_at: now + config.probe_timeout,
        };
        self.own.insert(sequence, probe);
        sequence
    }

    /// Starts a probe for another node; gives its sequence number, or `None` when too many are pending.
    pub(super) fn relay(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u32,
        config: &Config,
        now: Timestamp,
    ) -> Option<u32> {
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        let sequence = self.next_sequence();
        let relayed = RelayedProbe {
            origin,
            origin_sequence,
            expires_at: now + config.probe_timeout,
        };
        self.relayed.insert(sequence, relayed);
        Some(sequence)
    }

    /// A new sequence number, also for pings whose acknowledgement is not awaited.
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Removes an acknowledged probe of this node.
    pub(super) fn acknowledge(&mut self, sequence: u32) -> Option<Probe> {
        self.own.remove(&sequence)
    }

    /// Removes an acknowledged probe made for another node.
    pub(super) fn acknowledge_relayed(&mut self, sequence: u32) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// The probes for which helpers must be requested now; each is given once.
    pub(super) fn needing_helpers(&mut self, now: Timestamp) -> Vec<(u32, NodeName)> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.own {
            if probe.helpers_due_at.is_some_and(|at| at <= now) {
                probe.helpers_due_at = None;
                due.push((*sequence, probe.target.clone()));
            }
        }
        due
    }

    /// Removes and gives the probes that failed.
    pub(super) fn take_failed(&mut self, now: Timestamp) -> Vec<Probe> {
        self.relayed.retain(|_, relayed| relayed.expires_at > now);
        let expired = self.own.iter().filter(|(_, probe)| probe.fails_at <= now);
        let sequences: Vec<u32> = expired.map(|(sequence, _)| *sequence).collect();
        let failed = sequences.iter().filter_map(|it| self.own.remove(it));
        failed.collect()
    }

    /// Discards all pending probes.
    pub(super) fn clear(&mut self) {
        self.own.clear();
        self.relayed.clear();
    }

    /// When helpers are next due, or a probe next fails.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let deadline = |probe: &Probe| probe.helpers_due_at.unwrap_or(probe.fails_at);
        self.own.values().map(deadline).min()
    }
}
