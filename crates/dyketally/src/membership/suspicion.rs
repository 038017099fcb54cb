//! Suspicions of members that did not answer, and when such members are declared dead.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::config::Config;
use super::member::Incarnation;

#[derive(Debug)]
struct Suspicion {
    incarnation: Incarnation,
    began: Timestamp,
    accusers: BTreeSet<NodeName>,
}

/// The open suspicions, by suspected member.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    open: BTreeMap<NodeName, Suspicion>,
}

impl Suspicions {
    /// Opens a suspicion of `node`; it replaces one about an older incarnation.
    pub(super) fn open(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        by: &NodeName,
        now: Timestamp,
    ) {
        let suspicion = Suspicion {
            incarnation,
            began: now,
            accusers: BTreeSet::from([by.clone()]),
        };
        self.open.insert(node.clone(), suspicion);
    }

    /// Adds an accuser; true when it is new and brings the death forward.
    pub(super) fn confirm(&mut self, node: &NodeName, by: &NodeName, confirmations: usize) -> bool {
        let Some(suspicion) = self.open.get_mut(node) else {
            return false;
        };
        suspicion.accusers.len() <= confirmations && suspicion.accusers.insert(by.clone())
    }

    /// Ends the suspicion of `node`.
    pub(super) fn close(&mut self, node: &NodeName) {
        self.open.remove(node);
    }

    /// The members whose time to refute has passed, with the incarnation that was suspected.
    pub(super) fn expired(
        &self,
        config: &Config,
        possible_confirmers: usize,
        now: Timestamp,
    ) -> Vec<(NodeName, Incarnation)> {
        let is_expired = |(_, suspicion): &(&NodeName, &Suspicion)| {
            suspicion.deadline(config, possible_confirmers) <= now
        };
        let expired = self.open.iter().filter(is_expired);
        expired
            .map(|(node, suspicion)| (node.clone(), suspicion.incarnation))
            .collect()
    }

    /// When the next suspicion expires.
    pub(super) fn next_deadline(
        &self,
        config: &Config,
        possible_confirmers: usize,
    ) -> Option<Timestamp> {
        let deadlines = self.open.values();
        deadlines
            .map(|suspicion| suspicion.deadline(config, possible_confirmers))
            .min()
    }

    /// Gives all suspected members `pause` more time to refute.
    pub(super) fn extend(&mut self, pause: Duration) {
        for suspicion in self.open.values_mut() {
            suspicion.began = suspicion.began + pause;
        }
    }
}

impl Suspicion {
    /// When the member is declared dead. The more nodes suspect it independently, the sooner;
    /// `possible_confirmers` is the number of nodes that could confirm the first suspicion.
    fn deadline(&self, config: &Config, possible_confirmers: usize) -> Timestamp {
        let needed = config.confirmations.min(possible_confirmers);
        if needed == 0 {
            return self.began + config.shortest_suspicion;
        }
        let confirmed = (self.accusers.len() - 1).min(needed);
        let progress = (confirmed as f64 + 1.0).ln() / (needed as f64 + 1.0).ln();
        let spread = config.longest_suspicion - config.shortest_suspicion;
        self.began + (config.longest_suspicion - spread.mul_f64(progress))
    }
}
