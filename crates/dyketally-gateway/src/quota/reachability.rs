//! The share of the nodes that this one reaches, found out by asking a few of them while it matters.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::Quotas;
use crate::fleet::message::PeerMessage;

/// Nodes that are asked each time, drawn at random: their number doesn't grow with the fleet.
const SAMPLE_SIZE: usize = 24;
/// Pause between two times.
const MIN_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long replies are waited for: the way to another region and back, and a pause of a node whose
/// share of its processor is used up.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long what was found out counts.
const VALID_FOR: Duration = Duration::from_secs(4);

/// What was last found out.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    last_result: Cell<Option<(Instant, f64)>>,
    last_started: Cell<Option<Instant>>,
}

impl Reachability {
    /// The share, taken for all while it isn't known.
    pub(super) fn share(&self) -> f64 {
        let last_result = self
            .last_result
            .get()
            .filter(|(at, _)| at.elapsed() < VALID_FOR);
        last_result.map_or(1.0, |(_, share)| share)
    }
}

impl Quotas {
    /// Finds out the share of the nodes that this one reaches, unless that was done lately.
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
            let request = PeerMessage::ReachAsked {
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
            // This node reaches itself.
            let share = (replied + 1) as f64 / (asked.len() + 1) as f64;
            let last_result = Some((Instant::now(), share));
            quotas.reachability.last_result.set(last_result);
        });
    }
}
