//! A statement in the simulation.

use std::time::Duration;

use dyketally::time::Timestamp;

/// A statement in the simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Unique in one run.
    pub number: usize,
    /// Index of the tenant in the workload.
    pub tenant: usize,
    /// When it arrived.
    pub arrived: Timestamp,
    /// The caller's deadline.
    pub deadline: Timestamp,
    /// How long it will keep a slot busy.
    pub service: Duration,
}
