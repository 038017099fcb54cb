//! Handles the datagrams of other nodes that concern modules in layers above `fleet`.

use std::net::SocketAddr;
use std::rc::Rc;

use async_trait::async_trait;
use dyketally::failover::Evidence;
use dyketally::identifiers::{DatabaseName, GroupName, TenantName, ZoneName};
use dyketally::quota::{Decision, Role};

use crate::fleet::message::PeerMessage;
use crate::fleet::peer::PeerRequests;
use crate::gateway::Gateway;

/// Forwards each request to the module that answers it.
pub(super) struct RequestHandler(pub(super) Rc<Gateway>);

#[async_trait(?Send)]
impl PeerRequests for RequestHandler {
    fn primary_suspected(&self, group: GroupName, database: DatabaseName) {
        self.0.leadership.suspicions.record(group, database);
    }

    async fn evidence(&self, group: &GroupName, database: &DatabaseName) -> Option<Evidence> {
        let suspicions = &self.0.leadership.suspicions;
        suspicions.evidence(group, database).await
    }

    fn grant_reply(&self, round: u64) -> PeerMessage {
        self.0.leadership.grants.grant_reply(round)
    }

    fn receive_grant(&self, round: u64, granted_ms: Option<u32>, majority_ms: Option<u32>) {
        let grants = &self.0.leadership.grants;
        grants.receive_grant(round, granted_ms, majority_ms);
    }

    fn relays_for(&self, zone: &ZoneName) -> Vec<SocketAddr> {
        self.0.feed.relays_for(zone)
    }

    fn account(&self, tenant: &TenantName, wanted: u32, role: Role) -> Option<Decision> {
        self.0.quotas.account(tenant, wanted, role)
    }
}
