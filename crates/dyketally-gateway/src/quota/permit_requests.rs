//! Requests for permits to accountants, sent as datagrams that may get lost.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::TenantName;
use dyketally::placement;
use dyketally::quota::{Decision, Role};
use tokio::time::Instant;

use super::Quotas;
use crate::fleet::message::PeerMessage;
use crate::fleet::passive_exclusions::Exclusions;
use crate::fleet::peer::Peers;

/// Maximum number of nodes that are asked for a permit: the accountant and its stand-ins. In a network
/// split, an operation on the side with 35% of the nodes finds none of eight there 3 times in 100 (0.65 to
/// the power of 8), none of four 18 times.
const MAX_NODES_ASKED: usize = 8;
/// How long the answer to a request is waited for: twice the round trip to another region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(90);
/// Maximum number of requests to one node for one operation.
const MAX_REQUESTS_PER_NODE: u32 = 3;
/// Number of consecutive requests without an answer after which a node is excluded for a while; a single
/// one may have been lost on the network.
const MAX_MISSED_ANSWERS: u32 = 2;
/// Number of consecutive requests without an answer from any node after which this node counts as cut off,
/// provided that [`CUT_OFF_SILENCE`] has passed too.
const CUT_OFF_AFTER: u32 = 6;
/// Time since the last answer of any node after which this node may count as cut off.
const CUT_OFF_SILENCE: Duration = Duration::from_secs(1);
/// How long a node that counts as cut off sends no requests.
const CUT_OFF_DURATION: Duration = Duration::from_millis(600);

/// Which nodes answered the requests so far.
#[derive(Default)]
pub(super) struct PermitRequests {
    excluded: Exclusions,
    /// Number of requests that each node has left unanswered since its last answer.
    missed: RefCell<HashMap<SocketAddr, u32>>,
    /// Number of consecutive requests without an answer from any node.
    unanswered: Cell<u32>,
    /// When a node last answered a request.
    last_answer: Cell<Option<Instant>>,
    cut_off_since: Cell<Option<Instant>>,
}

impl PermitRequests {
    fn is_cut_off(&self) -> bool {
        let since = self.cut_off_since.get();
        since.is_some_and(|since| since.elapsed() < CUT_OFF_DURATION)
    }

    fn record_answer(&self, node: SocketAddr) {
        self.missed.borrow_mut().remove(&node);
        self.unanswered.set(0);
        self.last_answer.set(Some(Instant::now()));
        self.cut_off_since.set(None);
    }

    fn record_timeout(&self, node: SocketAddr) {
        let mut missed = self.missed.borrow_mut();
        let missed = missed.entry(node).or_default();
        *missed += 1;
        if *missed >= MAX_MISSED_ANSWERS {
            self.excluded.add(node);
        }
        self.unanswered.set(self.unanswered.get() + 1);
        let answer = self.last_answer.get();
        let is_silent = answer.is_none_or(|at| at.elapsed() >= CUT_OFF_SILENCE);
        if is_silent && self.unanswered.get() >= CUT_OFF_AFTER {
            self.cut_off_since.set(Some(Instant::now()));
        }
    }
}

impl Quotas {
    /// Requests `wanted` operations from the accountant of `tenant`, or else from a stand-in. Returns the
    /// decision, or `None` when no node answers.
    pub(super) async fn request_permits(
        self: &Rc<Self>,
        tenant: &TenantName,
        wanted: u32,
        until: Instant,
    ) -> Option<Decision> {
        let peers = self.fleet.peers.borrow().clone()?;
        let permit_requests = &self.permit_requests;
        let mut role = Role::Accountant;
        for node in self.accountants(tenant) {
            let asked_as = std::mem::replace(&mut role, Role::StandIn);
            let Some(address) = node else {
                return self.account(tenant, wanted, asked_as);
            };
            // The next node is asked only once this one is excluded: two nodes that grant operations of one tenant to
            // the same nodes would grant twice as many.
            for _ in 0..MAX_REQUESTS_PER_NODE {
                if permit_requests.is_cut_off() || permit_requests.excluded.contains(&address) {
                    break;
                }
                let answer = request_permit(&peers, address, (tenant, wanted, asked_as));
                let timeout = until.min(Instant::now() + ANSWER_TIMEOUT);
                match tokio::time::timeout_at(timeout, answer).await {
                    Ok(decision) => {
                        permit_requests.record_answer(address);
                        return decision;
                    }
                    Err(_) => permit_requests.record_timeout(address),
                }
            }
        }
        None
    }

    /// Addresses of the accountant of `tenant` and its stand-ins; `None` stands for this node.
    fn accountants(&self, tenant: &TenantName) -> Vec<Option<SocketAddr>> {
        let nodes = self.fleet.membership.nodes();
        let candidates = nodes.values().map(|node| node.candidate());
        let ranked = placement::accountants(tenant, candidates, MAX_NODES_ASKED);
        let own = &self.cx.settings.node.name;
        let addresses = ranked.into_iter().filter_map(|name| match name == own {
            true => Some(None),
            false => Some(Some(nodes.get(name)?.address)),
        });
        addresses.collect()
    }
}

/// Requests a permit from one node.
async fn request_permit(
    peers: &Rc<Peers>,
    address: SocketAddr,
    (tenant, wanted, role): (&TenantName, u32, Role),
) -> Option<Decision> {
    let mut replies = peers.collect_permits();
    let request = PeerMessage::PermitRequest {
        round: replies.round,
        tenant: tenant.clone(),
        wanted,
        role,
    };
    peers.send(address, &request);
    replies.receiver.recv().await
}
