//! The fair queue for the slots of one database.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::drain_rate::retry_after;
use super::schedule::Schedule;
use super::status::QueueStatus;
use super::submission::{
    Admitted, Expired, Rejected, RejectionReason, Stage, Submission, Ticket, Withdrawn,
};
use super::tenant::{Rank, Tenant, Waiting};
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Where a waiting statement is queued, by its ticket.
#[derive(Debug)]
struct Location {
    tenant: TenantName,
    rank: Rank,
    latest_start: Timestamp,
}

/// The statements that wait for one of a database's slots, and the statements that hold one.
///
/// Each statement that [`enqueue`](Self::enqueue) accepts leaves in exactly one of three ways:
/// through [`next`](Self::next) with a slot, through [`expire`](Self::expire) when it can no longer be expected
/// to end before its deadline, or through [`withdraw`](Self::withdraw).
#[derive(Debug)]
pub struct FairQueue<T> {
    slots: u32,
    tenants: BTreeMap<TenantName, Tenant<T>>,
    schedule: Schedule,
    locations: BTreeMap<Ticket, Location>,
    /// The waiting statements in the order in which they expire.
    latest_starts: BTreeSet<(Timestamp, Ticket)>,
    /// Number of waiting statements of [`Stage::Fresh`].
    queued_fresh: usize,
    next_ticket: u64,
    /// Reports of the end of a statement that held no slot.
    unknown_finished: u64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for a database that runs up to `slots` statements at a time.
    pub fn new(slots: u32) -> Self {
        FairQueue {
            slots,
            tenants: BTreeMap::new(),
            schedule: Schedule::default(),
            locations: BTreeMap::new(),
            latest_starts: BTreeSet::new(),
            queued_fresh: 0,
            next_ticket: 0,
            unknown_finished: 0,
        }
    }

    /// Changes the number of slots. Statements that hold a slot keep it. If more statements run than
    /// there are slots now, none is admitted until enough have finished. With 0 slots the queue is paused.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Queues a statement, or rejects it at once with the time after which to retry.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        submission: Submission<T>,
        random: &mut impl Rng,
    ) -> Result<Ticket, Rejected<T>> {
        let tenant = self
            .tenants
            .entry(submission.tenant.clone())
            .or_insert_with(Tenant::new);
        tenant.set_weight(submission.weight);
        let rank = Rank {
            stage: submission.stage,
            urgency: Reverse(submission.urgency),
            ticket: Ticket(self.next_ticket),
        };
        let latest_start = tenant.latest_start(now, submission.deadline);
        if let Some(reason) = rejection_reason(now, tenant, &submission, rank, latest_start) {
            tenant.counters.rejected += 1;
            return Err(Rejected {
                reason,
                retry_after: tenant_retry_after(now, tenant, random),
                item: submission.item,
            });
        }
        Ok(self.accept(now, submission, rank, latest_start))
    }

    /// Gives a free slot to the next statement. To be called until it returns `None`.
    pub fn next(&mut self, now: Timestamp) -> Option<Admitted<T>> {
        self.next_eligible(now, |_, _| true)
    }

    /// As [`next`](Self::next), but skips statements that `eligible` excludes by their tenant and stage, such
    /// as fresh ones of a tenant that can't have another connection. Skipped statements keep their place.
    pub fn next_eligible(
        &mut self,
        now: Timestamp,
        eligible: impl Fn(&TenantName, Stage) -> bool,
    ) -> Option<Admitted<T>> {
        if self.free_slots() == 0 {
            return None;
        }
        self.schedule.charge_overdue(now);
        let ticket = self.first_eligible(now, eligible)?;
        self.admit(now, ticket)
    }

    /// Frees the slot of an admitted statement that has finished. False when `ticket` holds no slot.
    pub fn finished(&mut self, now: Timestamp, ticket: Ticket) -> bool {
        let Some(finished) = self.schedule.finish(now, ticket) else {
            self.unknown_finished += 1;
            return false;
        };
        if let Some(tenant) = self.tenants.get_mut(&finished.tenant) {
            tenant.record_finished(finished.busy);
        }
        true
    }

    /// Removes the statements that can no longer be expected to end before their deadline.
    pub fn expire(&mut self, now: Timestamp, random: &mut impl Rng) -> Vec<Expired<T>> {
        let mut expired = Vec::new();
        while let Some((latest_start, ticket)) = self.latest_starts.first().copied() {
            if latest_start > now {
                break;
            }
            expired.extend(self.expire_one(now, ticket, random));
        }
        expired
    }

    /// When [`expire`](Self::expire) removes the statement; `None` when it is no longer in the queue.
    pub fn latest_start(&self, ticket: Ticket) -> Option<Timestamp> {
        let location = self.locations.get(&ticket)?;
        Some(location.latest_start)
    }

    /// Removes a waiting statement at its owner's request; `None` when it is no longer in the queue.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<Withdrawn<T>> {
        let (location, waiting) = self.remove(ticket)?;
        if let Some(tenant) = self.tenants.get_mut(&location.tenant) {
            tenant.counters.withdrawn += 1;
        }
        Some(Withdrawn {
            ticket,
            tenant: location.tenant,
            item: waiting.item,
        })
    }

    /// Removes the records of idle tenants for which `keep` returns false.
    pub fn retain_tenants(&mut self, keep: impl Fn(&TenantName) -> bool) {
        let schedule = &mut self.schedule;
        self.tenants.retain(|name, tenant| {
            let retained = keep(name) || !tenant.is_idle();
            if !retained {
                schedule.forget(name);
            }
            retained
        });
    }

    /// Number of slots that no statement holds.
    pub fn free_slots(&self) -> u32 {
        let running = u32::try_from(self.schedule.running()).unwrap_or(u32::MAX);
        self.slots.saturating_sub(running)
    }

    /// Number of waiting statements.
    pub fn queued(&self) -> usize {
        self.locations.len()
    }

    /// Number of waiting statements, of all tenants, that will need a connection ([`Stage::Fresh`]).
    pub fn queued_fresh(&self) -> usize {
        self.queued_fresh
    }

    /// Number of statements that hold a slot.
    pub fn running(&self) -> usize {
        self.schedule.running()
    }

    /// The queue's status for operators.
    pub fn status(&self) -> QueueStatus {
        let tenants = self.tenants.iter();
        QueueStatus {
            slots: self.slots,
            queued: self.queued(),
            running: self.running(),
            unknown_finished: self.unknown_finished,
            tenants: tenants
                .map(|(name, tenant)| (name.clone(), tenant.status()))
                .collect(),
        }
    }

    fn accept(
        &mut self,
        now: Timestamp,
        submission: Submission<T>,
        rank: Rank,
        latest_start: Timestamp,
    ) -> Ticket {
        let ticket = rank.ticket;
        self.next_ticket += 1;
        self.schedule
            .begin_waiting(now, &submission.tenant, submission.weight);
        self.queued_fresh += usize::from(rank.stage == Stage::Fresh);
        self.latest_starts.insert((latest_start, ticket));
        if let Some(tenant) = self.tenants.get_mut(&submission.tenant) {
            tenant.counters.enqueued += 1;
            let waiting = Waiting {
                enqueued: now,
                latest_start,
                item: submission.item,
            };
            tenant.push(rank, waiting);
        }
        let location = Location {
            tenant: submission.tenant,
            rank,
            latest_start,
        };
        self.locations.insert(ticket, location);
        ticket
    }

    fn first_eligible(
        &self,
        now: Timestamp,
        eligible: impl Fn(&TenantName, Stage) -> bool,
    ) -> Option<Ticket> {
        self.schedule.in_order().find_map(|name| {
            let tenant = self.tenants.get(name)?;
            let rank = tenant.first(now, |stage| eligible(name, stage))?;
            Some(rank.ticket)
        })
    }

    fn admit(&mut self, now: Timestamp, ticket: Ticket) -> Option<Admitted<T>> {
        let Location { tenant: name, .. } = self.locations.get(&ticket)?;
        let name = name.clone();
        let tenant = self.tenants.get_mut(&name)?;
        self.schedule.start(now, &name, ticket, tenant.estimate());
        tenant.running += 1;
        tenant.counters.admitted += 1;
        tenant
            .drain_rate
            .record_admission(now, tenant.waiting_count() > 1);
        let (location, waiting) = self.remove(ticket)?;
        Some(Admitted {
            ticket,
            tenant: location.tenant,
            stage: location.rank.stage,
            waited: now.saturating_since(waiting.enqueued),
            item: waiting.item,
        })
    }

    fn expire_one(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        random: &mut impl Rng,
    ) -> Option<Expired<T>> {
        let (location, waiting) = self.remove(ticket)?;
        let tenant = self.tenants.get_mut(&location.tenant)?;
        tenant.counters.expired += 1;
        Some(Expired {
            ticket,
            retry_after: tenant_retry_after(now, tenant, random),
            tenant: location.tenant,
            item: waiting.item,
        })
    }

    /// Removes a waiting statement from every index.
    fn remove(&mut self, ticket: Ticket) -> Option<(Location, Waiting<T>)> {
        let location = self.locations.remove(&ticket)?;
        self.latest_starts.remove(&(location.latest_start, ticket));
        let tenant = self.tenants.get_mut(&location.tenant)?;
        let waiting = tenant.remove(location.rank)?;
        self.queued_fresh -= usize::from(location.rank.stage == Stage::Fresh);
        if !tenant.has_waiting() {
            tenant.drain_rate.stop_measuring();
            self.schedule.end_waiting(&location.tenant);
        }
        Some((location, waiting))
    }
}

/// The reason to reject `submission`; `None` when it can be queued.
fn rejection_reason<T>(
    now: Timestamp,
    tenant: &Tenant<T>,
    submission: &Submission<T>,
    rank: Rank,
    latest_start: Timestamp,
) -> Option<RejectionReason> {
    if latest_start <= now {
        return Some(RejectionReason::DeadlinePassed);
    }
    if submission.stage == Stage::Continuation {
        return None;
    }
    if tenant.is_full(submission.queue_limit) {
        return Some(RejectionReason::QueueFull);
    }
    let too_long = tenant.expected_wait(rank) > latest_start.saturating_since(now);
    too_long.then_some(RejectionReason::WaitTooLong)
}

/// Time after which a rejected or expired statement should be retried: until the tenant's current queue has
/// drained, with jitter.
fn tenant_retry_after<T>(now: Timestamp, tenant: &Tenant<T>, random: &mut impl Rng) -> Duration {
    let interval = tenant.drain_rate.current_interval(now);
    let interval = interval.unwrap_or_else(|| tenant.estimate());
    retry_after(interval, tenant.waiting_count(), random)
}
