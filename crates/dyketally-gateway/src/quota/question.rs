//! Questions to accountants, over datagrams that may get lost.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::TenantName;
use dyketally::placement;
use dyketally::quota::Decision;
use tokio::time::Instant;

use crate::fleet::passed_over::PassedOver;
use crate::fleet::peer::{PeerMessage, Peers};
use crate::gateway::Gateway;

/// Nodes that may be asked: the accountant, and who takes over when it doesn't answer.
const ASKED_AT_MOST: usize = 2;
/// How long an answer is waited for: the way to another region and back, and a pause of a node whose
/// share of its processor is used up.
const ANSWER_LIMIT: Duration = Duration::from_millis(130);
/// Times that one node is asked, since datagrams get lost.
const ASKED_TIMES: u32 = 2;
/// Nodes in a row that didn't answer, after which this one counts as cut off from all.
const CUT_OFF_AFTER: u32 = 3;
/// How long a node that counts as cut off asks nobody.
const CUT_OFF_HOLDS: Duration = Duration::from_millis(600);

/// What was learnt from questions so far.
#[derive(Default)]
pub(super) struct Questions {
    passed_over: PassedOver,
    /// Nodes in a row that didn't answer.
    unanswered: Cell<u32>,
    cut_off_since: Cell<Option<Instant>>,
}

impl Questions {
    fn is_cut_off(&self) -> bool {
        let since = self.cut_off_since.get();
        since.is_some_and(|since| since.elapsed() < CUT_OFF_HOLDS)
    }

    fn answered(&self) {
        self.unanswered.set(0);
        self.cut_off_since.set(None);
    }

    fn unanswered_by(&self, node: SocketAddr) {
        self.passed_over.add(node);
        self.unanswered.set(self.unanswered.get() + 1);
        if self.unanswered.get() >= CUT_OFF_AFTER {
            self.cut_off_since.set(Some(Instant::now()));
        }
    }
}

impl Gateway {
    /// What the accountant of `tenant`, or else the node that takes over from it, says to a question
    /// for `wanted` operations; `None` when neither answers.
    pub(super) async fn ask_accountants(
        &self,
        tenant: &TenantName,
        wanted: u32,
        until: Instant,
    ) -> Option<Decision> {
        let peers = self.peers.borrow().clone()?;
        let questions = &self.quotas.questions;
        for node in self.accountants(tenant) {
            let Some(address) = node else {
                return self.account(tenant, wanted);
            };
            if questions.is_cut_off() || questions.passed_over.contains(&address) {
                continue;
            }
            for _ in 0..ASKED_TIMES {
                let answer = ask(&peers, address, tenant, wanted);
                let limit = until.min(Instant::now() + ANSWER_LIMIT);
                if let Ok(decision) = tokio::time::timeout_at(limit, answer).await {
                    questions.answered();
                    return decision;
                }
            }
            questions.unanswered_by(address);
        }
        None
    }

    /// The accountant of `tenant` and who takes over from it; `None` stands for this node.
    fn accountants(&self, tenant: &TenantName) -> Vec<Option<SocketAddr>> {
        let nodes = self.membership.nodes();
        let candidates = nodes.values().map(|node| node.candidate());
        let ranked = placement::accountants(tenant, candidates, ASKED_AT_MOST);
        let own = &self.settings.node.name;
        let addresses = ranked.into_iter().filter_map(|name| match name == own {
            true => Some(None),
            false => Some(Some(nodes.get(name)?.address)),
        });
        addresses.collect()
    }
}

/// Asks one node.
async fn ask(
    peers: &Rc<Peers>,
    address: SocketAddr,
    tenant: &TenantName,
    wanted: u32,
) -> Option<Decision> {
    let mut replies = peers.collect_permits();
    let question = PeerMessage::PermitAsked {
        round: replies.round,
        tenant: tenant.clone(),
        wanted,
    };
    peers.send(address, &question);
    replies.receiver.recv().await
}
