//! Members that did not answer, and when they are declared dead.

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

/// The suspicions that are open.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    open: BTreeMap<NodeName, Suspicion>,
}

impl Suspicions {
    /// Opens a suspicion of `node`, in place of one about an older incarnation.
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

    /// Adds an accuser; true when it is new and still shortens the time.
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

    /// The members whose time is over, with the incarnation that was suspected.
    pub(super) fn expired(
        &self,
        config: &Config,
        other_judges: usize,
        now: Timestamp,
    ) -> Vec<(NodeName, Incarnation)> {
        let over = |(_, suspicion): &(&NodeName, &Suspicion)| {
            suspicion.deadline(config, other_judges) <= now
        };
        let expired = self.open.iter().filter(over);
        expired
            .map(|(node, suspicion)| (node.clone(), suspicion.incarnation))
            .collect()
    }

    /// When the next member's time is over.
    pub(super) fn next_deadline(&self, config: &Config, other_judges: usize) -> Option<Timestamp> {
        let deadlines = self.open.values();
        deadlines
            .map(|suspicion| suspicion.deadline(config, other_judges))
            .min()
    }

    /// Gives all suspected members `pause` more time.
    pub(super) fn extend(&mut self, pause: Duration) {
        for suspicion in self.open.values_mut() {
            suspicion.began = suspicion.began + pause;
        }
    }
}

impl Suspicion {
    /// The more nodes suspect independently, the sooner; `other_judges` is how many could.
    fn deadline(&self, config: &Config, other_judges: usize) -> Timestamp {
        let needed = config.confirmations.min(other_judges);
        if needed == 0 {
            return self.began + config.shortest_suspicion;
        }
        let confirmed = (self.accusers.len() - 1).min(needed);
        let progress = (confirmed as f64 + 1.0).ln() / (needed as f64 + 1.0).ln();
        let spread = config.longest_suspicion - config.shortest_suspicion;
        self.began + (config.longest_suspicion - spread.mul_f64(progress))
    }
}
