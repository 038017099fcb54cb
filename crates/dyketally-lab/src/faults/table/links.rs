//! Faults of links of a proxy.

use super::super::case::Action::{CutLink, Heal, ResetLink, Wait};
use super::super::case::FaultCase;
use super::super::case::Target::{Edge, Home, Primary};
use super::{HUBER, LAKESHORE, seconds};

/// The cases.
pub(super) const CASES: &[FaultCase] = &[
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
];
