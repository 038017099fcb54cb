//! The table of fault cases.

use std::time::Duration;

use dyketally::policy::Confirmation;
use dyketally_proxy::platform::memory::Outage;

use crate::bench::Configuration;

use super::case::Target::{Edge, Home, Primary, Replica};
use super::case::{Action, Direction, FaultCase, User};

use Action::{
    AnnounceLeaving, BeginPublish, CaughtUp, CutLink, CutPeers, EndPublish, Freeze, Heal,
    KeyValueService, Kill, Lag, LapseLeases, Leave, LoseReplies, Publish, PublishTogether,
    ReplyDelay, ResetLink, Restart, ServiceTime, StayLeading, Stop, Thaw, Wait,
};

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Long enough that statements are surely in flight when the next fault comes.
const SLOW: Action = ServiceTime(milliseconds(40));

const LAKESHORE: FaultCase = FaultCase {
    name: "",
    shows: "",
    user: User::Lakeshore,
    is_short: false,
    configuration: Configuration::File,
    confirmation: Confirmation::MajorityPosition,
    must_not_cut: false,
    script: &[],
};

const HUBER: FaultCase = FaultCase {
    user: User::Huber,
    ..LAKESHORE
};

/// All cases.
pub const CASES: &[FaultCase] = &[
    FaultCase {
        name: "edge-killed",
        shows: "a proxy is killed in the middle of its callers' transactions",
        is_short: true,
        script: &[
            SLOW,
            Wait(milliseconds(500)),
            Kill(Edge),
            Wait(seconds(1)),
            Restart,
        ],
        ..HUBER
    },
    FaultCase {
        name: "home-killed",
        shows: "the home of the primary is killed with writes in flight",
        script: &[
            SLOW,
            Wait(milliseconds(500)),
            Kill(Home),
            Wait(seconds(4)),
            Restart,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "home-killed-in-transaction",
        shows: "the home of the primary is killed in the middle of transactions",
        script: &[
            SLOW,
            Wait(milliseconds(500)),
            Kill(Home),
            Wait(seconds(1)),
            Restart,
        ],
        ..HUBER
    },
    FaultCase {
        name: "home-killed-before-replies",
        shows: "the home is killed while writes have taken effect and their replies are due",
        script: &[
            ReplyDelay(milliseconds(100)),
            Wait(milliseconds(500)),
            Kill(Home),
            Wait(seconds(1)),
            Restart,
        ],
        ..HUBER
    },
    FaultCase {
        name: "primary-killed",
        shows: "the primary is killed with writes in flight",
        is_short: true,
        script: &[
            SLOW,
            Wait(milliseconds(500)),
            Kill(Primary),
            Wait(seconds(2)),
            Restart,
        ],
        ..HUBER
    },
    FaultCase {
        name: "primary-killed-before-replies",
        shows: "the primary is killed while writes have taken effect and their replies are due",
        script: &[
            ReplyDelay(milliseconds(100)),
            Wait(milliseconds(500)),
            Kill(Primary),
            Wait(seconds(2)),
            Restart,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "primary-paused",
        shows: "a paused primary wakes with requests waiting after another was elected",
        is_short: true,
        script: &[
            SLOW,
            Wait(milliseconds(300)),
            Freeze(Primary),
            Wait(seconds(2)),
            Thaw,
            Wait(seconds(1)),
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "primary-cut-off",
        shows: "the primary is cut off from its peers, believes it leads, and proxies reach it",
        is_short: true,
        script: &[CutPeers(Primary, Direction::Both), Wait(seconds(3)), Heal],
        ..HUBER
    },
    FaultCase {
        name: "primary-stays-leading",
        shows: "a replaced primary goes on leading its side after the cut has healed",
        script: &[
            StayLeading(Primary),
            CutPeers(Primary, Direction::Both),
            Wait(seconds(2)),
            Heal,
            Wait(seconds(2)),
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "primary-cut-outbound",
        shows: "the primary's messages to its peers are lost, theirs reach it",
        script: &[
            CutPeers(Primary, Direction::Outbound),
            Wait(seconds(3)),
            Heal,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "primary-cut-inbound",
        shows: "the peers' messages to the primary are lost, its own reach them",
        script: &[
            CutPeers(Primary, Direction::Inbound),
            Wait(seconds(3)),
            Heal,
        ],
        ..HUBER
    },
    FaultCase {
        name: "replies-of-primary-held",
        shows: "what the primary sends to its home is held, requests still reach it",
        script: &[
            CutLink {
                from: Primary,
                to: Home,
            },
            Wait(seconds(4)),
            Heal,
            Wait(seconds(1)),
        ],
        ..HUBER
    },
    FaultCase {
        name: "requests-to-primary-held",
        shows: "what the home sends to the primary is held and arrives late",
        script: &[
            CutLink {
                from: Home,
                to: Primary,
            },
            Wait(seconds(4)),
            Heal,
            Wait(seconds(1)),
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "home-replies-held",
        shows: "what a home sends to another proxy is held, requests still reach it",
        script: &[
            CutLink {
                from: Home,
                to: Edge,
            },
            Wait(seconds(4)),
            Heal,
            Wait(seconds(1)),
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "proxies-reset",
        shows: "connections between two proxies are reset and refused",
        script: &[
            ResetLink {
                from: Edge,
                to: Home,
            },
            Wait(seconds(2)),
            Heal,
        ],
        ..HUBER
    },
    FaultCase {
        name: "home-frozen",
        shows: "a home freezes past failure detection and wakes with requests waiting",
        is_short: true,
        script: &[Freeze(Home), Wait(seconds(8)), Thaw, Wait(seconds(2))],
        ..HUBER
    },
    FaultCase {
        name: "edge-frozen",
        shows: "a proxy freezes past failure detection with its callers' transactions open",
        script: &[SLOW, Freeze(Edge), Wait(seconds(8)), Thaw, Wait(seconds(2))],
        ..HUBER
    },
    FaultCase {
        name: "replicas-behind",
        shows: "replicas fall behind, within the deadline of a write and beyond it",
        script: &[
            Lag(milliseconds(500)),
            Wait(seconds(3)),
            Lag(seconds(6)),
            Wait(seconds(7)),
            Lag(Duration::ZERO),
            Wait(seconds(1)),
        ],
        ..HUBER
    },
    FaultCase {
        name: "key-value-outage",
        shows: "the key-value service is down while an operator publishes",
        configuration: Configuration::Platform,
        script: &[
            KeyValueService(Outage::Refuse),
            BeginPublish,
            Wait(seconds(3)),
            KeyValueService(Outage::None),
            EndPublish,
            Publish,
        ],
        ..HUBER
    },
    FaultCase {
        name: "key-value-hangs",
        shows: "the key-value service takes requests and never answers; leases lapse",
        configuration: Configuration::Platform,
        script: &[
            KeyValueService(Outage::Hang),
            BeginPublish,
            Wait(seconds(3)),
            LapseLeases,
            KeyValueService(Outage::None),
            EndPublish,
            Publish,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "two-operators",
        shows: "two operators publish at the same moment, three times",
        configuration: Configuration::Platform,
        script: &[
            PublishTogether,
            Wait(seconds(2)),
            PublishTogether,
            Wait(seconds(2)),
            PublishTogether,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "lost-reply",
        shows: "a change takes effect and the key-value service's reply is lost",
        configuration: Configuration::Platform,
        script: &[
            LoseReplies(1),
            Publish,
            Wait(seconds(2)),
            LoseReplies(2),
            Publish,
        ],
        ..HUBER
    },
    FaultCase {
        name: "home-stopped",
        shows: "a planned stop of the home under load cuts off no request",
        is_short: true,
        must_not_cut: true,
        script: &[
            SLOW,
            Wait(milliseconds(500)),
            Stop(Home),
            Wait(seconds(1)),
            Restart,
        ],
        ..HUBER
    },
    FaultCase {
        name: "edge-stopped",
        shows: "a planned stop of a proxy under load cuts off no request",
        must_not_cut: true,
        script: &[Stop(Edge), Wait(seconds(1)), Restart],
        ..LAKESHORE
    },
    FaultCase {
        name: "replica-announced-leaving",
        shows: "the machine list announces that a replica leaves; it gets no new work",
        script: &[AnnounceLeaving(Replica), Wait(seconds(9))],
        ..HUBER
    },
    FaultCase {
        name: "primary-leaves",
        shows: "the primary leaves and hands over; it gets no new work",
        script: &[Leave(Primary), Wait(seconds(9))],
        ..LAKESHORE
    },
    FaultCase {
        name: "primary-killed-home-frozen",
        shows: "the primary is killed while its home is frozen",
        script: &[
            Freeze(Home),
            Wait(milliseconds(500)),
            Kill(Primary),
            Wait(seconds(4)),
            Thaw,
            Wait(seconds(2)),
            Restart,
        ],
        ..HUBER
    },
    FaultCase {
        name: "primary-paused-home-killed",
        shows: "the primary is paused and its home killed; the primary wakes",
        script: &[
            SLOW,
            Freeze(Primary),
            Kill(Home),
            Wait(seconds(2)),
            Thaw,
            Wait(seconds(1)),
            Restart,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "service-down-home-killed",
        shows: "a home is killed and starts again while the key-value service is down",
        configuration: Configuration::Platform,
        script: &[
            KeyValueService(Outage::Refuse),
            Kill(Home),
            Wait(seconds(1)),
            Restart,
            Wait(seconds(2)),
            KeyValueService(Outage::None),
            Publish,
        ],
        ..HUBER
    },
    FaultCase {
        name: "primary-killed-home-stopped",
        shows: "the home is stopped as planned while the primary fails",
        script: &[SLOW, Kill(Primary), Stop(Home), Wait(seconds(2)), Restart],
        ..HUBER
    },
    FaultCase {
        name: "primary-killed-replicas-behind",
        shows: "the primary is killed while its replicas are behind",
        script: &[
            Lag(milliseconds(800)),
            Wait(seconds(3)),
            Kill(Primary),
            Wait(seconds(3)),
            Restart,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "primary-killed-twice",
        shows: "the primary is killed, comes back empty, and the next primary is killed",
        script: &[
            Kill(Primary),
            Wait(seconds(2)),
            Restart,
            Wait(seconds(2)),
            Kill(Primary),
            Wait(seconds(2)),
            Restart,
        ],
        ..LAKESHORE
    },
    FaultCase {
        name: "primary-paused-twice",
        shows: "a primary is paused and wakes, then the next one",
        script: &[
            Freeze(Primary),
            Wait(seconds(2)),
            Thaw,
            Wait(seconds(1)),
            CaughtUp,
            Freeze(Primary),
            Wait(seconds(2)),
            Thaw,
            Wait(seconds(1)),
        ],
        ..HUBER
    },
    FaultCase {
        name: "home-killed-twice",
        shows: "the home is killed, then the one that took its place",
        script: &[
            SLOW,
            Kill(Home),
            Wait(seconds(3)),
            Kill(Home),
            Wait(seconds(3)),
            Restart,
        ],
        ..HUBER
    },
];
