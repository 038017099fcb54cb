//! Faults of the key-value service, and operators at odds.

use dyketally_proxy::stores::memory::Outage;

use crate::testbed::Configuration;

use super::super::case::Action::{
    BeginPublish, EndPublish, KeyValueService, LapseLeases, LoseReplies, Publish, PublishTogether,
    Wait,
};
use super::super::case::FaultCase;
use super::{HUBER, LAKESHORE, seconds};

/// The cases.
pub(super) const CASES: &[FaultCase] = &[
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
];
