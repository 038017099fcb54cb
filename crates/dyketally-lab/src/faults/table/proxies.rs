//! Faults of one proxy.

use super::super::case::Action::{Freeze, Kill, ReplyDelay, Restart, Stop, Thaw, Wait};
use super::super::case::FaultCase;
use super::super::case::Target::{Edge, Home};
use super::{HUBER, LAKESHORE, SLOW, milliseconds, seconds};

/// The cases.
pub(super) const CASES: &[FaultCase] = &[
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
];
