//! Pins the bytes of the datagrams between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use dyketally::failover::{ActiveFence, Evidence, FenceId};
use dyketally::identifiers::{DatabaseName, Locality, NodeName};
use dyketally::placement::LinkClass;
use dyketally::quota::{Decision, Role};
use dyketally_gateway::fleet::membership::NodeRecord;
use dyketally_gateway::fleet::message::PeerMessage;

use crate::pin::{Sample, check, check_complete, variants};

const FIXTURE: &str = include_str!("datagrams.txt");

variants! {
    messages, PeerMessage,
    PeerMessage::Suspect { .. } => "suspect",
    PeerMessage::Poll { .. } => "poll",
    PeerMessage::Vote { .. } => "vote",
    PeerMessage::CoordinatorAnnounced { .. } => "has_duty",
    PeerMessage::Fence { .. } => "fence",
    PeerMessage::FenceReply { .. } => "fence_reply",
    PeerMessage::ClearFence { .. } => "lift_fence",
    PeerMessage::SignOfLifeRequest { .. } => "are_you_there",
    PeerMessage::SignOfLifeReply { .. } => "here",
    PeerMessage::ContactRequest { .. } => "contact_asked",
    PeerMessage::ContactReply { .. } => "contact_told",
    PeerMessage::HeartbeatRequest => "heartbeat_asked",
    PeerMessage::HeartbeatReply => "heartbeat",
    PeerMessage::RelaysRequest { .. } => "relays_asked",
    PeerMessage::RelaysReply { .. } => "relays",
    PeerMessage::PermitRequest { .. } => "permit_asked",
    PeerMessage::PermitReply { .. } => "permit_decided",
    PeerMessage::ReachRequest { .. } => "reach_asked",
    PeerMessage::ReachReply { .. } => "reach_reply",
    PeerMessage::NodeStopping { .. } => "ends",
    PeerMessage::NewLeader { .. } => "leads",
}

variants! {
    evidence, Evidence,
    Evidence::Answered => "answered",
    Evidence::Refused => "refused",
    Evidence::Silent => "silent",
}

variants! {
    roles, Role,
    Role::Accountant => "accountant",
    Role::StandIn => "stand-in",
}

variants! {
    decisions, Decision,
    Decision::Granted { .. } => "granted",
    Decision::Refused { .. } => "refused",
}

fn database() -> DatabaseName {
    "ledger-1-b".into()
}

fn address() -> SocketAddr {
    "192.0.2.17:7400".parse().expect("an address")
}

fn address_v6() -> SocketAddr {
    "[2001:db8::17]:7400".parse().expect("an address")
}

fn record(link: LinkClass, address: SocketAddr) -> NodeRecord {
    NodeRecord {
        node: "node-17".into(),
        address,
        locality: Locality {
            region: "de".into(),
            zone: "de-rosenheim".into(),
        },
        weight: 300,
        link,
    }
}

fn fences() -> Vec<ActiveFence> {
    vec![
        ActiveFence {
            database: database(),
            id: FenceId(u64::MAX),
            age: Duration::from_millis(1_250),
        },
        ActiveFence {
            database: "ledger-2-a".into(),
            id: FenceId(3),
            age: Duration::ZERO,
        },
    ]
}

fn vote(evidence: Evidence, store_lost: bool) -> PeerMessage {
    PeerMessage::Vote {
        poll: 300,
        evidence,
        store_lost,
    }
}

fn permit_asked(role: Role) -> PeerMessage {
    PeerMessage::PermitRequest {
        round: 9,
        tenant: "bikes".into(),
        wanted: 200,
        role,
    }
}

fn failover_samples() -> Vec<Sample<PeerMessage>> {
    vec![
        (
            "suspect",
            PeerMessage::Suspect {
                group: "ledger-1".into(),
                database: database(),
            },
        ),
        (
            "poll",
            PeerMessage::Poll {
                poll: 300,
                group: "ledger-1".into(),
                database: database(),
            },
        ),
        ("vote/answered", vote(Evidence::Answered, false)),
        ("vote/refused", vote(Evidence::Refused, true)),
        ("vote/silent", vote(Evidence::Silent, false)),
        (
            "has_duty",
            PeerMessage::CoordinatorAnnounced {
                record: record(LinkClass::default(), address()),
            },
        ),
        (
            "has_duty/fast link, IPv6",
            PeerMessage::CoordinatorAnnounced {
                record: record(LinkClass::of_megabits(1_000.0), address_v6()),
            },
        ),
        (
            "fence",
            PeerMessage::Fence {
                round: 7,
                database: database(),
                id: FenceId(u64::MAX),
                suspected_ms: 400,
            },
        ),
        (
            "fence_reply/none heard",
            PeerMessage::FenceReply {
                round: 7,
                contested: true,
                recently_answered: Vec::new(),
            },
        ),
        (
            "fence_reply/two heard",
            PeerMessage::FenceReply {
                round: 7,
                contested: false,
                recently_answered: vec![address(), address_v6()],
            },
        ),
        (
            "lift_fence",
            PeerMessage::ClearFence {
                database: database(),
                id: FenceId(3),
            },
        ),
        (
            "leads",
            PeerMessage::NewLeader {
                group: "ledger-1".into(),
                database: database(),
            },
        ),
    ]
}

fn contact_samples() -> Vec<Sample<PeerMessage>> {
    vec![
        ("are_you_there", PeerMessage::SignOfLifeRequest { round: 8 }),
        (
            "here/no fences",
            PeerMessage::SignOfLifeReply {
                round: 8,
                fenced: Vec::new(),
            },
        ),
        (
            "here/two fences",
            PeerMessage::SignOfLifeReply {
                round: 8,
                fenced: fences(),
            },
        ),
        ("contact_asked", PeerMessage::ContactRequest { round: 200 }),
        (
            "contact_told/none",
            PeerMessage::ContactReply {
                round: 200,
                granted_ms: None,
                majority_ms: None,
                fenced: Vec::new(),
            },
        ),
        (
            "contact_told/both",
            PeerMessage::ContactReply {
                round: 200,
                granted_ms: Some(0),
                majority_ms: Some(800),
                fenced: fences(),
            },
        ),
        ("heartbeat_asked", PeerMessage::HeartbeatRequest),
        ("heartbeat", PeerMessage::HeartbeatReply),
    ]
}

fn other_samples() -> Vec<Sample<PeerMessage>> {
    vec![
        (
            "relays_asked",
            PeerMessage::RelaysRequest {
                zone: "de-rosenheim".into(),
            },
        ),
        (
            "relays",
            PeerMessage::RelaysReply {
                relays: vec![address(), address_v6()],
            },
        ),
        ("permit_asked/accountant", permit_asked(Role::Accountant)),
        ("permit_asked/stand-in", permit_asked(Role::StandIn)),
        (
            "permit_decided/granted",
            PeerMessage::PermitReply {
                round: 9,
                decision: Decision::Granted {
                    operations: 200,
                    after: Duration::from_millis(35),
                    strained: true,
                },
            },
        ),
        (
            "permit_decided/refused",
            PeerMessage::PermitReply {
                round: 9,
                decision: Decision::Refused {
                    retry_after: Duration::from_millis(2_500),
                },
            },
        ),
        ("reach_asked", PeerMessage::ReachRequest { round: 10 }),
        ("reach_reply", PeerMessage::ReachReply { round: 10 }),
        (
            "ends",
            PeerMessage::NodeStopping {
                node: NodeName::new("node-17"),
            },
        ),
    ]
}

fn samples() -> Vec<Sample<PeerMessage>> {
    let mut samples = failover_samples();
    samples.extend(contact_samples());
    samples.extend(other_samples());
    samples
}

#[test]
fn datagrams_keep_their_bytes() {
    check(FIXTURE, &samples());
}

/// The kinds of messages are pinned because they are labels of metrics.
#[test]
fn datagrams_keep_their_kinds() {
    for (label, message) in samples() {
        let kind = label.split('/').next();
        assert_eq!(Some(message.kind()), kind);
        assert_eq!(message.kind(), messages::name(&message));
    }
}

#[test]
fn each_datagram_is_pinned() {
    let samples = samples();
    let messages = samples.iter().map(|(_, message)| messages::name(message));
    check_complete(messages::ALL, messages);
    let evidence = samples.iter().filter_map(|(_, message)| match message {
        PeerMessage::Vote { evidence, .. } => Some(evidence::name(evidence)),
        _ => None,
    });
    check_complete(evidence::ALL, evidence);
    let roles = samples.iter().filter_map(|(_, message)| match message {
        PeerMessage::PermitRequest { role, .. } => Some(roles::name(role)),
        _ => None,
    });
    check_complete(roles::ALL, roles);
    let decisions = samples.iter().filter_map(|(_, message)| match message {
        PeerMessage::PermitReply { decision, .. } => Some(decisions::name(decision)),
        _ => None,
    });
    check_complete(decisions::ALL, decisions);
}
