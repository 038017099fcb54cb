//! The table of fault cases.

mod databases;
mod links;
mod platform;
mod proxies;
mod together;

use std::time::Duration;

use dyketally::policy::Confirmation;

use crate::testbed::Configuration;

use super::case::{Action, FaultCase, User};

/// All cases.
pub fn cases() -> impl Iterator<Item = &'static FaultCase> {
    let tables = [
        proxies::CASES,
        databases::CASES,
        links::CASES,
        platform::CASES,
        together::CASES,
    ];
    tables.into_iter().flatten()
}

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Long enough that statements are surely in flight when the next fault comes.
const SLOW: Action = Action::ServiceTime(milliseconds(40));

/// What cases on the second user's site have in common.
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

/// What cases on the first user's site have in common.
const HUBER: FaultCase = FaultCase {
    user: User::Huber,
    ..LAKESHORE
};
