//! What a queueing discipline decides.

use std::time::Duration;

use dyketally::time::Timestamp;

/// A statement in the simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Unique in one run; a retry keeps the number.
    pub number: usize,
    /// Index of the tenant in the workload.
    pub tenant: usize,
    /// The proxy that the caller is connected to.
    pub proxy: usize,
    /// Attempts so far, this one included.
    pub attempt: u32,
    /// When the first attempt arrived.
    pub arrived: Timestamp,
    /// The caller's deadline.
    pub deadline: Timestamp,
    /// How long it will keep a slot busy. No discipline may look before the end, except where a
    /// baseline is given exact estimates.
    pub service: Duration,
}

/// A statement that is answered without having run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotRun {
    /// The statement.
    pub job: Job,
    /// The time to come back, if the discipline names one.
    pub retry_after: Option<Duration>,
}

/// Decides which statement gets a slot.
pub trait Discipline {
    /// A statement arrives.
    fn arrive(&mut self, now: Timestamp, job: Job) -> Result<(), NotRun>;

    /// Gives a free slot to a statement; `None` when no slot is free for those that wait.
    fn start(&mut self, now: Timestamp) -> Option<Job>;

    /// A statement gives its slot back.
    fn finish(&mut self, now: Timestamp, job: &Job);

    /// Gives up on the statements that are past their deadline.
    fn expire(&mut self, now: Timestamp) -> Vec<NotRun>;

    /// Statements that wait.
    fn waiting(&self) -> usize;
}
