//! The datagrams that nodes send each other.

use std::net::SocketAddr;

use dyketally::failover::{Evidence, FenceId, StandingFence};
use dyketally::identifiers::{DatabaseName, GroupName, NodeName, TenantName, ZoneName};
use dyketally::quota::{Decision, Role};
use serde::{Deserialize, Serialize};

use crate::fleet::membership::NodeRecord;

/// What nodes send each other. It is encoded in postcard, which depends on the order of variants and
/// fields: nodes of different builds talk to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender doesn't reach the primary.
    Suspect {
        /// The group.
        group: GroupName,
        /// The primary.
        database: DatabaseName,
    },
    /// What does the receiver see of the primary?
    Poll {
        /// Names the poll in replies.
        poll: u64,
        /// The group.
        group: GroupName,
        /// The primary.
        database: DatabaseName,
    },
    /// What the sender sees.
    Vote {
        /// The poll.
        poll: u64,
        /// What it sees.
        evidence: Evidence,
        /// True when it has lost the store.
        store_lost: bool,
    },
    /// The sender is the failover coordinator, which replaces primaries.
    CoordinatorAnnounced {
        /// The sender.
        record: NodeRecord,
    },
    /// The receiver must no longer take a database for the leader of its group.
    Fence {
        /// Names the question in replies.
        round: u64,
        /// The database.
        database: DatabaseName,
        /// The round of fences.
        id: FenceId,
        /// How long ago it was suspected, in milliseconds.
        suspected_ms: u32,
    },
    /// Whether the sender has put up the fence.
    FenceReply {
        /// The question.
        round: u64,
        /// True when it hasn't, since the database has answered it after the suspicion.
        contested: bool,
        /// Nodes to which the sender has lately given a sign of life.
        heard: Vec<SocketAddr>,
    },
    /// A database that was fenced isn't replaced.
    LiftFence {
        /// The database.
        database: DatabaseName,
        /// The round of fences that is over.
        id: FenceId,
    },
    /// Asks for a sign of life.
    SignOfLifeAsked {
        /// Names the question in replies.
        round: u64,
    },
    /// A sign of life.
    SignOfLife {
        /// The question.
        round: u64,
        /// The fences that stand at the sender.
        fenced: Vec<StandingFence>,
    },
    /// Asks for the failover coordinator's grant.
    ContactAsked {
        /// Names the question in replies.
        round: u64,
    },
    /// How lately the sender was granted contact, and heard from most nodes.
    ContactReply {
        /// The question.
        round: u64,
        /// How long ago it asked for the grant that it has, in milliseconds; 0 for the coordinator
        /// itself.
        granted_ms: Option<u32>,
        /// How long ago it asked the nodes more than half of which replied, in milliseconds.
        majority_ms: Option<u32>,
        /// The fences that stand at the sender.
        fenced: Vec<StandingFence>,
    },
    /// Asks for a heartbeat. Unlike [`PeerMessage::SignOfLifeAsked`] the reply doesn't count as
    /// contact of the sender.
    HeartbeatAsked,
    /// The sender's process runs.
    Heartbeat,
    /// Which relays should a node of this zone follow?
    RelaysAsked {
        /// The zone.
        zone: ZoneName,
    },
    /// Relays that the receiver may follow.
    Relays {
        /// Where they hear other nodes, in the order of preference.
        relays: Vec<SocketAddr>,
    },
    /// May the sender run operations of a tenant that has a quota?
    PermitAsked {
        /// Names the question in replies.
        round: u64,
        /// The tenant.
        tenant: TenantName,
        /// How many operations.
        wanted: u32,
        /// What the sender takes the receiver for.
        role: Role,
    },
    /// What the sender decided as the tenant's accountant.
    PermitDecided {
        /// The question.
        round: u64,
        /// The decision.
        decision: Decision,
    },
    /// Does the receiver hear the sender?
    ReachAsked {
        /// Names the question in replies.
        round: u64,
    },
    /// It does.
    ReachReply {
        /// The question.
        round: u64,
    },
    /// The sender's process ends.
    Ends {
        /// The sender.
        node: NodeName,
    },
    /// The database leads its group now.
    Leads {
        /// The group.
        group: GroupName,
        /// The database.
        database: DatabaseName,
    },
}

impl PeerMessage {
    /// The kind, as counters and metrics name it. Some names are older than those of the variants.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Suspect { .. } => "suspect",
            Self::Poll { .. } => "poll",
            Self::Vote { .. } => "vote",
            Self::CoordinatorAnnounced { .. } => "has_duty",
            Self::Fence { .. } => "fence",
            Self::FenceReply { .. } => "fence_reply",
            Self::LiftFence { .. } => "lift_fence",
            Self::SignOfLifeAsked { .. } => "are_you_there",
            Self::SignOfLife { .. } => "here",
            Self::ContactAsked { .. } => "contact_asked",
            Self::ContactReply { .. } => "contact_told",
            Self::HeartbeatAsked => "heartbeat_asked",
            Self::Heartbeat => "heartbeat",
            Self::RelaysAsked { .. } => "relays_asked",
            Self::Relays { .. } => "relays",
            Self::PermitAsked { .. } => "permit_asked",
            Self::PermitDecided { .. } => "permit_decided",
            Self::ReachAsked { .. } => "reach_asked",
            Self::ReachReply { .. } => "reach_reply",
            Self::Ends { .. } => "ends",
            Self::Leads { .. } => "leads",
        }
    }
}
