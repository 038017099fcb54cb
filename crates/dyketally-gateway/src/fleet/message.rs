//! The messages that nodes send each other as UDP datagrams.

use std::net::SocketAddr;

use dyketally::failover::{ActiveFence, Evidence, FenceId};
use dyketally::identifiers::{DatabaseName, GroupName, NodeName, TenantName, ZoneName};
use dyketally::quota::{Decision, Role};
use serde::{Deserialize, Serialize};

use crate::fleet::membership::NodeRecord;

/// A message between nodes. It is encoded in postcard, which depends on the order of variants and fields:
/// keep both, since nodes of different builds exchange these messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender can't reach a primary.
    Suspect {
        /// The primary's group.
        group: GroupName,
        /// The primary.
        database: DatabaseName,
    },
    /// Requests the receiver's vote on whether a primary can be reached.
    Poll {
        /// Identifies the poll in replies.
        poll: u64,
        /// The primary's group.
        group: GroupName,
        /// The primary.
        database: DatabaseName,
    },
    /// Replies to [`PeerMessage::Poll`].
    Vote {
        /// The poll that this vote replies to.
        poll: u64,
        /// Whether and how the primary answers the sender.
        evidence: Evidence,
        /// True when the sender has lost its connection to the store.
        store_lost: bool,
    },
    /// The sender is the failover coordinator, which replaces primaries.
    CoordinatorAnnounced {
        /// The sender's record.
        record: NodeRecord,
    },
    /// Requests that the receiver no longer treats a database as the primary of its group.
    Fence {
        /// Identifies the request in replies.
        round: u64,
        /// The database to fence.
        database: DatabaseName,
        /// The round of fences that this fence belongs to.
        id: FenceId,
        /// How long ago the database was suspected, in milliseconds.
        suspected_ms: u32,
    },
    /// Replies to [`PeerMessage::Fence`].
    FenceReply {
        /// The request that this message replies to.
        round: u64,
        /// True when the sender hasn't set the fence, since the database has answered it after the
        /// suspicion or the round of fences is over.
        contested: bool,
        /// Addresses of the nodes to which the sender has recently sent a sign of life.
        recently_answered: Vec<SocketAddr>,
    },
    /// Clears the fence around a database that won't be replaced.
    ClearFence {
        /// The fenced database.
        database: DatabaseName,
        /// The round of fences that is over.
        id: FenceId,
    },
    /// Requests a sign of life.
    SignOfLifeRequest {
        /// Identifies the request in replies.
        round: u64,
    },
    /// Replies to [`PeerMessage::SignOfLifeRequest`].
    SignOfLifeReply {
        /// The request that this message replies to.
        round: u64,
        /// The fences that are set at the sender.
        fenced: Vec<ActiveFence>,
    },
    /// Requests the failover coordinator's grant of contact.
    ContactRequest {
        /// Identifies the request in replies.
        round: u64,
    },
    /// Replies to [`PeerMessage::ContactRequest`] with the ages of the sender's own contacts.
    ContactReply {
        /// The request that this message replies to.
        round: u64,
        /// How long ago the sender requested the grant that it holds, in milliseconds; 0 for the
        /// coordinator itself; `None` without a grant.
        granted_ms: Option<u32>,
        /// How long ago the sender sent the last request to which more than half of the nodes replied, in
        /// milliseconds.
        majority_ms: Option<u32>,
        /// The fences that are set at the sender.
        fenced: Vec<ActiveFence>,
    },
    /// Requests a heartbeat. Unlike for [`PeerMessage::SignOfLifeRequest`], the reply doesn't count as
    /// contact of the requester with other nodes.
    HeartbeatRequest,
    /// Replies to [`PeerMessage::HeartbeatRequest`]: the sender's process is running.
    HeartbeatReply,
    /// Requests the relays that a node of a zone should follow.
    RelaysRequest {
        /// The zone of the requester.
        zone: ZoneName,
    },
    /// Replies to [`PeerMessage::RelaysRequest`].
    RelaysReply {
        /// Addresses at which the relays receive messages of other nodes, in the order of preference.
        relays: Vec<SocketAddr>,
    },
    /// Requests permission to run operations of a tenant that has a quota.
    PermitRequest {
        /// Identifies the request in replies.
        round: u64,
        /// The tenant.
        tenant: TenantName,
        /// The number of operations.
        wanted: u32,
        /// The role that the receiver has for the tenant, as far as the sender knows.
        role: Role,
    },
    /// Replies to [`PeerMessage::PermitRequest`].
    PermitReply {
        /// The request that this message replies to.
        round: u64,
        /// The sender's decision as the tenant's accountant or stand-in.
        decision: Decision,
    },
    /// Checks that the receiver can be reached.
    ReachRequest {
        /// Identifies the request in replies.
        round: u64,
    },
    /// Replies to [`PeerMessage::ReachRequest`].
    ReachReply {
        /// The request that this message replies to.
        round: u64,
    },
    /// The sender's process is about to end.
    NodeStopping {
        /// The sender.
        node: NodeName,
    },
    /// A database has become the primary of its group.
    NewLeader {
        /// The group.
        group: GroupName,
        /// The new primary.
        database: DatabaseName,
    },
}

impl PeerMessage {
    /// The message's kind as counters and metrics name it. Some kinds keep an earlier name of their variant,
    /// since operators' tools match them.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Suspect { .. } => "suspect",
            Self::Poll { .. } => "poll",
            Self::Vote { .. } => "vote",
            Self::CoordinatorAnnounced { .. } => "has_duty",
            Self::Fence { .. } => "fence",
            Self::FenceReply { .. } => "fence_reply",
            Self::ClearFence { .. } => "lift_fence",
            Self::SignOfLifeRequest { .. } => "are_you_there",
            Self::SignOfLifeReply { .. } => "here",
            Self::ContactRequest { .. } => "contact_asked",
            Self::ContactReply { .. } => "contact_told",
            Self::HeartbeatRequest => "heartbeat_asked",
            Self::HeartbeatReply => "heartbeat",
            Self::RelaysRequest { .. } => "relays_asked",
            Self::RelaysReply { .. } => "relays",
            Self::PermitRequest { .. } => "permit_asked",
            Self::PermitReply { .. } => "permit_decided",
            Self::ReachRequest { .. } => "reach_asked",
            Self::ReachReply { .. } => "reach_reply",
            Self::NodeStopping { .. } => "ends",
            Self::NewLeader { .. } => "leads",
        }
    }
}
