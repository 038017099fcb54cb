//! The waiting statements of one tenant, and the measurements of its statements.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::average::Estimate;
use super::drain_rate::DrainRate;
use super::status::{TenantCounters, TenantStatus};
use super::submission::{Stage, Ticket};
use crate::policy::Urgency;
use crate::time::Timestamp;

/// Busy time assumed for a statement of a tenant none of whose statements has finished yet.
const FIRST_ESTIMATE: Duration = Duration::from_millis(5);

/// Sort key of a tenant's waiting statements: statements of open transactions first, then urgent before
/// normal, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) stage: Stage,
    pub(super) urgency: Reverse<Urgency>,
    pub(super) ticket: Ticket,
}

/// A statement that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) enqueued: Timestamp,
    /// When the statement expires if it has not been admitted.
    pub(super) latest_start: Timestamp,
    pub(super) item: T,
}

/// Queue and measurements of one tenant.
#[derive(Debug)]
pub(super) struct Tenant<T> {
    weight: u32,
    waiting: BTreeMap<Rank, Waiting<T>>,
    /// Number of waiting statements of [`Stage::Fresh`].
    waiting_fresh: usize,
    /// Number of statements that hold a slot.
    pub(super) running: usize,
    /// Busy time of the finished statements.
    service_time: Estimate,
    pub(super) drain_rate: DrainRate,
    pub(super) counters: TenantCounters,
}

impl<T> Tenant<T> {
    pub(super) fn new() -> Self {
        Tenant {
            weight: 1,
            waiting: BTreeMap::new(),
            waiting_fresh: 0,
            running: 0,
            service_time: Estimate::default(),
            drain_rate: DrainRate::default(),
            counters: TenantCounters::default(),
        }
    }

    pub(super) fn set_weight(&mut self, weight: u32) {
        self.weight = weight.max(1);
    }

    /// True when at least `limit` fresh statements wait already.
    pub(super) fn is_full(&self, limit: u32) -> bool {
        u32::try_from(self.waiting_fresh).unwrap_or(u32::MAX) >= limit
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, rank: Rank, waiting: Waiting<T>) {
        self.waiting_fresh += usize::from(rank.stage == Stage::Fresh);
        self.drain_rate.record_waiting(waiting.enqueued);
        self.waiting.insert(rank, waiting);
    }

    pub(super) fn remove(&mut self, rank: Rank) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(&rank)?;
        self.waiting_fresh -= usize::from(rank.stage == Stage::Fresh);
        Some(waiting)
    }

    /// The first waiting statement whose stage is eligible and whose latest start has not passed.
    pub(super) fn first(&self, now: Timestamp, eligible: impl Fn(Stage) -> bool) -> Option<Rank> {
        [Stage::Continuation, Stage::Fresh]
            .into_iter()
            .filter(|stage| eligible(*stage))
            .find_map(|stage| self.first_of(now, stage))
    }

    fn first_of(&self, now: Timestamp, stage: Stage) -> Option<Rank> {
        let lowest = Rank {
            stage,
            urgency: Reverse(Urgency::Urgent),
            ticket: Ticket(0),
        };
        self.waiting
            .range(lowest..)
            .take_while(|(rank, _)| rank.stage == stage)
            .find(|(_, waiting)| waiting.latest_start > now)
            .map(|(rank, _)| *rank)
    }

    /// Expected busy time of the tenant's next statement.
    pub(super) fn estimate(&self) -> Duration {
        self.service_time.average().unwrap_or(FIRST_ESTIMATE)
    }

    /// The latest time at which a statement that arrives now has to start in order to end by `deadline`. At
    /// least half of the time left may be spent waiting, however long the tenant's statements run.
    pub(super) fn latest_start(&self, now: Timestamp, deadline: Timestamp) -> Timestamp {
        let half = deadline.saturating_since(now) / 2;
        deadline - self.service_time.upper().min(half)
    }

    /// Time until the statements ahead of one of `rank` have been admitted, at the average rate measured so
    /// far. A stall in progress is ignored, since it may end at any time.
    pub(super) fn expected_wait(&self, rank: Rank) -> Duration {
        let ahead = self.waiting.range(..rank).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let interval = self.drain_rate.average().unwrap_or_default();
        interval.saturating_mul(ahead)
    }

    pub(super) fn record_finished(&mut self, busy: Duration) {
        self.running -= 1;
        self.service_time.record(busy);
        self.counters.finished += 1;
        self.counters.busy += busy;
    }

    pub(super) fn status(&self) -> TenantStatus {
        TenantStatus {
            weight: self.weight,
            queued: self.waiting.len(),
            running: self.running,
            service_time: self.service_time.average(),
            service_time_upper: self.service_time.upper(),
            drain_interval: self.drain_rate.average(),
            counters: self.counters,
        }
    }
}
