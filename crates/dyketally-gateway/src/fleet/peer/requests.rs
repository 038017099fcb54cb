//! Handles the datagrams that arrive from other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dyketally::failover::Evidence;
use dyketally::identifiers::{DatabaseName, GroupName, TenantName, ZoneName};
use dyketally::quota::{Decision, Role};
use tokio::time::Instant;

use super::{FenceReply, Peers, Vote};
use crate::fleet::message::PeerMessage;

/// Handlers of requests from other nodes that higher layers provide.
#[async_trait(?Send)]
pub trait PeerRequests {
    /// Called when another node suspects a primary.
    fn primary_suspected(&self, group: GroupName, database: DatabaseName);

    /// Whether and how a database of `group` answers this node; `None` when this node doesn't know the
    /// database.
    async fn evidence(&self, group: &GroupName, database: &DatabaseName) -> Option<Evidence>;

    /// The reply to a request for the coordinator's grant.
    fn grant_reply(&self, round: u64) -> PeerMessage;

    /// Called when another node replied to a request for the coordinator's grant. `granted_ms` and
    /// `majority_ms` are the ages of that node's contacts in milliseconds; see
    /// [`PeerMessage::ContactReply`]. The fences that are set there have been recorded before the call.
    fn receive_grant(&self, round: u64, granted_ms: Option<u32>, majority_ms: Option<u32>);

    /// Addresses of the relays that a node of `zone` may follow.
    fn relays_for(&self, zone: &ZoneName) -> Vec<SocketAddr>;

    /// Decides in `role` on a request for `wanted` operations of `tenant`; `None` when the tenant has no
    /// quota.
    fn account(&self, tenant: &TenantName, wanted: u32, role: Role) -> Option<Decision>;
}

impl Peers {
    pub(super) fn receive(
        self: &Rc<Self>,
        requests: &Rc<dyn PeerRequests>,
        from: SocketAddr,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Suspect { group, database } => requests.primary_suspected(group, database),
            PeerMessage::Poll {
                poll,
                group,
                database,
            } => self.vote(requests, from, poll, group, database),
            PeerMessage::Vote {
                poll,
                evidence,
                store_lost,
            } => {
                let vote = Vote {
                    evidence,
                    store_lost,
                    from,
                };
                self.polls.deliver(poll, vote);
            }
            PeerMessage::Fence {
                round,
                database,
                id,
                suspected_ms,
            } => {
                let suspected = Duration::from_millis(suspected_ms.into());
                let contested = !self
                    .access
                    .databases
                    .set_fence_unless_answered(&database, id, suspected);
                let recently_answered = self.recently_answered();
                let reply = PeerMessage::FenceReply {
                    round,
                    contested,
                    recently_answered,
                };
                self.send(from, &reply);
            }
            PeerMessage::FenceReply {
                round,
                contested,
                recently_answered,
            } => {
                let reply = FenceReply {
                    from,
                    contested,
                    recently_answered,
                };
                self.fence_rounds.deliver(round, reply);
            }
            PeerMessage::ClearFence { database, id } => {
                self.access.databases.clear_fence_round(&database, id)
            }
            PeerMessage::SignOfLifeRequest { round } => {
                self.sign_of_life_requesters
                    .borrow_mut()
                    .insert(from, Instant::now());
                let fenced = self.access.databases.active_fences();
                self.send(from, &PeerMessage::SignOfLifeReply { round, fenced });
            }
            PeerMessage::SignOfLifeReply { round, fenced } => {
                self.access.databases.merge_fences(fenced, "a sign of life");
                self.sign_of_life_rounds.deliver(round, from);
            }
            PeerMessage::ContactRequest { round } => {
                self.send(from, &requests.grant_reply(round));
            }
            PeerMessage::ContactReply {
                round,
                granted_ms,
                majority_ms,
                fenced,
            } => {
                self.access
                    .databases
                    .merge_fences(fenced, "a reply about contact");
                requests.receive_grant(round, granted_ms, majority_ms);
            }
            PeerMessage::HeartbeatRequest => self.send(from, &PeerMessage::HeartbeatReply),
            PeerMessage::HeartbeatReply => {
                if let Some(heartbeats) = self.heartbeats.borrow().as_ref() {
                    // Fails only when the task that counts heartbeats has ended, as the process is stopping.
                    let _ = heartbeats.send(from);
                }
            }
            PeerMessage::RelaysRequest { zone } => {
                let relays = requests.relays_for(&zone);
                self.send(from, &PeerMessage::RelaysReply { relays });
            }
            PeerMessage::RelaysReply { relays } => self.access.fleet.membership.add_relays(relays),
            PeerMessage::PermitRequest {
                round,
                tenant,
                wanted,
                role,
            } => {
                if let Some(decision) = requests.account(&tenant, wanted, role) {
                    self.send(from, &PeerMessage::PermitReply { round, decision });
                }
            }
            PeerMessage::PermitReply { round, decision } => {
                self.permit_rounds.deliver(round, decision);
            }
            PeerMessage::ReachRequest { round } => {
                self.send(from, &PeerMessage::ReachReply { round });
            }
            PeerMessage::ReachReply { round } => self.reach_rounds.deliver(round, ()),
            PeerMessage::NodeStopping { node } => self.access.fleet.membership.record_ended(&node),
            PeerMessage::CoordinatorAnnounced { record } => {
                self.access.fleet.coordinator.receive_announcement(record)
            }
            PeerMessage::NewLeader { database, .. } => {
                self.access.databases.record_promoted(&database);
            }
        }
    }

    /// Replies to a poll, in the background, once this node has found out whether it reaches the database.
    fn vote(
        self: &Rc<Self>,
        requests: &Rc<dyn PeerRequests>,
        to: SocketAddr,
        poll: u64,
        group: GroupName,
        database: DatabaseName,
    ) {
        self.access
            .fleet
            .cx
            .store_health
            .check_requested
            .notify_one();
        let peers = self.clone();
        let requests = requests.clone();
        tokio::task::spawn_local(async move {
            let evidence = requests.evidence(&group, &database).await;
            let store_lost = peers.access.fleet.cx.store_health.is_lost();
            if let Some(evidence) = evidence {
                let vote = PeerMessage::Vote {
                    poll,
                    evidence,
                    store_lost,
                };
                peers.send(to, &vote);
            }
        });
    }
}
