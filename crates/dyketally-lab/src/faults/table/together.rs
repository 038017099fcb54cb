//! Two faults together, or the same twice.

use dyketally_proxy::stores::memory::Outage;

use crate::testbed::Configuration;

use super::super::case::Action::{
    CaughtUp, Freeze, KeyValueService, Kill, Lag, Publish, Restart, Stop, Thaw, Wait,
};
use super::super::case::FaultCase;
use super::super::case::Target::{Home, Primary};
use super::{HUBER, LAKESHORE, SLOW, milliseconds, seconds};

/// The cases.
pub(super) const CASES: &[FaultCase] = &[
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
