//! Measures which share of the nodes this node reaches, by a request to a random sample while the share
//! matters.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::Quotas;
use crate::fleet::message::PeerMessage;

/// Number of nodes in a sample. It doesn't grow with the fleet.
const SAMPLE_SIZE: usize = 24;
/// Minimum interval between the starts of two measurements.
const MIN_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long replies are waited for: the round trip to another region, plus the pause of a node whose share
/// of its processor is used up.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a result is valid.
const VALID_FOR: Duration = Duration::from_secs(4);

/// The last measurement.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    last_result: Cell<Option<(Instant, f64)>>,
    last_started: Cell<Option<Instant>>,
}

impl Reachability {
    /// The share of the nodes that this node reaches; 1 while no result is valid.
    pub(super) fn share(&self) -> f64 {
        let last_result = self
            .last_result
            .get()
            .filter(|(at, _)| at.elapsed() < VALID_FOR);
        last_result.map_or(1.0, |(_, share)| share)
    }
}

impl Quotas {
    /// Starts to measure the share of the nodes that this node reaches, unless a measurement was started
    /// recently.
    pub(super) fn measure_reachability(self: &Rc<Self>) {
        let reachability = &self.reachability;
        let is_recent = reachability
            .last_started
            .get()
            .is_some_and(|at| at.elapsed() < MIN_INTERVAL);
        let Some(peers) = self.fleet.peers.borrow().clone().filter(|_| !is_recent) else {
            return;
        };
        reachability.last_started.set(Some(Instant::now()));
        let quotas = self.clone();
        tokio::task::spawn_local(async move {
            let others = quotas
                .fleet
                .membership
                .others(&quotas.cx.settings.node.name);
            let asked: Vec<_> = others
                .choose_multiple(&mut rand::rng(), SAMPLE_SIZE)
                .collect();
            let mut replies = peers.collect_reach_replies();
            let request = PeerMessage::ReachRequest {
                round: replies.round,
            };
            for node in &asked {
                peers.send(**node, &request);
            }
            let until = Instant::now() + REPLY_TIMEOUT;
            let mut replied = 0;
            while replied < asked.len()
                && let Ok(Some(())) = tokio::time::timeout_at(until, replies.receiver.recv()).await
            {
                replied += 1;
            }
            // This node counts as reached.
            let share = (replied + 1) as f64 / (asked.len() + 1) as f64;
            let last_result = Some((Instant::now(), share));
            quotas.reachability.last_result.set(last_result);
        });
    }
}
