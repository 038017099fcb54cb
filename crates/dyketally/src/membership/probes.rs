//! Probes that wait for an acknowledgement, and probes made for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::config::Config;
use super::member::Incarnation;

/// Probes made for others that are kept at most.
const MOST_RELAYED: usize = 256;

/// A probe of a member.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: NodeName,
    pub(super) incarnation: Incarnation,
    /// When helpers are asked; `None` once they were, or when none are to be asked.
    pub(super) ask_helpers_at: Option<Timestamp>,
    /// When the probe has failed.
    pub(super) fails_at: Timestamp,
}

/// A probe made for another node.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub(super) origin: SocketAddr,
    pub(super) origin_sequence: u32,
    drop_at: Timestamp,
}

/// All probes under way.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_sequence: u32,
    own: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

impl Probes {
    /// Starts a probe of `target`; gives its number.
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
            ask_helpers_at: with_helpers.then_some(now + config.direct_timeout),
            fails_at: now + config.probe_timeout,
        };
        self.own.insert(sequence, probe);
        sequence
    }

    /// Starts a probe for another node; `None` when there are too many.
    pub(super) fn relay(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u32,
        config: &Config,
        now: Timestamp,
    ) -> Option<u32> {
        if self.relayed.len() >= MOST_RELAYED {
            return None;
        }
        let sequence = self.next_sequence();
        let relayed = RelayedProbe {
            origin,
            origin_sequence,
            drop_at: now + config.probe_timeout,
        };
        self.relayed.insert(sequence, relayed);
        Some(sequence)
    }

    /// A number for a ping that nobody waits for.
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Ends a probe that was acknowledged.
    pub(super) fn acknowledge(&mut self, sequence: u32) -> Option<Probe> {
        self.own.remove(&sequence)
    }

    /// Ends a probe for another node that was acknowledged.
    pub(super) fn acknowledge_relayed(&mut self, sequence: u32) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// The probes for which helpers must be asked now; each is given once.
    pub(super) fn needing_helpers(&mut self, now: Timestamp) -> Vec<(u32, NodeName)> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.own {
            if probe.ask_helpers_at.is_some_and(|at| at <= now) {
                probe.ask_helpers_at = None;
                due.push((*sequence, probe.target.clone()));
            }
        }
        due
    }

    /// Takes out the probes that failed.
    pub(super) fn take_failed(&mut self, now: Timestamp) -> Vec<Probe> {
        self.relayed.retain(|_, relayed| relayed.drop_at > now);
        let over = self.own.iter().filter(|(_, probe)| probe.fails_at <= now);
        let sequences: Vec<u32> = over.map(|(sequence, _)| *sequence).collect();
        let failed = sequences.iter().filter_map(|it| self.own.remove(it));
        failed.collect()
    }

    /// Forgets all probes under way.
    pub(super) fn clear(&mut self) {
        self.own.clear();
        self.relayed.clear();
    }

    /// When the next probe needs attention.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let deadline = |probe: &Probe| probe.ask_helpers_at.unwrap_or(probe.fails_at);
        self.own.values().map(deadline).min()
    }
}
