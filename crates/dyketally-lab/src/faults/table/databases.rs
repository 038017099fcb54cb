//! Faults of one database group.

use std::time::Duration;

use super::super::case::Action::{
    AnnounceLeaving, CutPeers, Freeze, Heal, Kill, Lag, Leave, ReplyDelay, Restart, StayLeading,
    Thaw, Wait,
};
use super::super::case::Target::{Primary, Replica};
use super::super::case::{Direction, FaultCase};
use super::{HUBER, LAKESHORE, SLOW, milliseconds, seconds};

/// The cases.
pub(super) const CASES: &[FaultCase] = &[
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
];
