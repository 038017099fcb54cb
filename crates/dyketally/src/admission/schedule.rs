//! Accounts for busy slot time by tenant, and derives the order in which tenants get slots.
//!
//! This is weighted fair queueing by virtual time: each tenant's virtual time advances by the slot time of
//! its statements divided by the tenant's weight, and the waiting tenant with the least virtual time is next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::submission::Ticket;
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Units of virtual time per microsecond of slot time at weight 1.
const UNITS_PER_MICROSECOND: u64 = 1 << 10;

/// Greatest credit of slot time, at weight 1, with which a tenant begins to wait. The credit lets a small
/// burst of statements from a tenant within its share go ahead of statements of tenants beyond their share.
/// Idle time earns no more credit than this.
pub const MAX_SLOT_TIME_CREDIT: Duration = Duration::from_millis(50);

/// Slot time divided by weight. The waiting tenant with the least virtual time gets the next slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct VirtualTime(u64);

impl VirtualTime {
    fn plus(self, slot_time: Duration, weight: u32) -> Self {
        VirtualTime(self.0.saturating_add(Self::of(slot_time, weight).0))
    }

    fn minus(self, slot_time: Duration, weight: u32) -> Self {
        VirtualTime(self.0.saturating_sub(Self::of(slot_time, weight).0))
    }

    fn of(slot_time: Duration, weight: u32) -> Self {
        let microseconds = u64::try_from(slot_time.as_micros()).unwrap_or(u64::MAX);
        VirtualTime(microseconds.saturating_mul(UNITS_PER_MICROSECOND) / u64::from(weight))
    }
}

/// Sort key of a tenant with waiting statements. Of equal virtual times, the tenant that began to wait first
/// goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    virtual_time: VirtualTime,
    wait_number: u64,
    tenant: TenantName,
}

/// A tenant's account of slot time.
#[derive(Debug)]
struct Account {
    weight: u32,
    virtual_time: VirtualTime,
    /// Serial number of the wait in progress, across all tenants; `None` while no statement of the tenant waits.
    wait_number: Option<u64>,
}

/// A statement that holds a slot.
#[derive(Debug)]
struct Running {
    tenant: TenantName,
    started: Timestamp,
    /// Slot time charged so far: the estimate, or the elapsed time once that is longer.
    charged: Duration,
}

/// A statement whose slot has been freed, and the time for which it was busy.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) tenant: TenantName,
    pub(super) busy: Duration,
}

/// The accounts of slot time, and the waiting tenants in the order in which they get slots.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    accounts: BTreeMap<TenantName, Account>,
    waiting: BTreeSet<OrderKey>,
    running: BTreeMap<Ticket, Running>,
    /// Virtual time at which a tenant that begins to wait starts, less a credit of up to [`MAX_SLOT_TIME_CREDIT`].
    /// Never decreases.
    baseline: VirtualTime,
    next_wait_number: u64,
}

impl Schedule {
    /// Number of statements that hold a slot.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Records that the tenant has waiting statements from now on, and its weight.
    pub(super) fn begin_waiting(&mut self, now: Timestamp, tenant: &TenantName, weight: u32) {
        let weight = weight.max(1);
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.weight = weight;
            if account.wait_number.is_some() {
                return;
            }
        }
        self.charge_overdue(now);
        self.raise_baseline();
        let account = self
            .accounts
            .entry(tenant.clone())
            .or_insert_with(|| Account {
                weight,
                virtual_time: VirtualTime::default(),
                wait_number: None,
            });
        let least = self.baseline.minus(MAX_SLOT_TIME_CREDIT, 1);
        account.virtual_time = account.virtual_time.max(least);
        account.wait_number = Some(self.next_wait_number);
        self.next_wait_number += 1;
        self.waiting.insert(account.order_key(tenant));
    }

    /// Records that the tenant has no waiting statements any more.
    pub(super) fn end_waiting(&mut self, tenant: &TenantName) {
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        if account.wait_number.is_some() {
            self.waiting.remove(&account.order_key(tenant));
            account.wait_number = None;
        }
    }

    /// Charges the running statements that have exceeded their estimate for the elapsed time.
    pub(super) fn charge_overdue(&mut self, now: Timestamp) {
        for running in self.running.values_mut() {
            let elapsed = now.saturating_since(running.started);
            let Some(extra) = elapsed.checked_sub(running.charged) else {
                continue;
            };
            if extra.is_zero() {
                continue;
            }
            running.charged = elapsed;
            let account = self.accounts.get_mut(&running.tenant);
            if let Some(account) = account {
                account.charge(&mut self.waiting, &running.tenant, extra);
            }
        }
    }

    /// Tenants with waiting statements, in the order in which they get slots.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &TenantName> {
        self.waiting.iter().map(|order_key| &order_key.tenant)
    }

    /// Gives a slot to a statement and charges the tenant for the expected busy time, `estimate`.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        ticket: Ticket,
        estimate: Duration,
    ) {
        self.raise_baseline();
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.charge(&mut self.waiting, tenant, estimate);
        }
        let running = Running {
            tenant: tenant.clone(),
            started: now,
            charged: estimate,
        };
        self.running.insert(ticket, running);
    }

    /// Frees the slot and corrects the charge to the actual busy time; `None` when `ticket` holds no slot.
    pub(super) fn finish(&mut self, now: Timestamp, ticket: Ticket) -> Option<Finished> {
        let running = self.running.remove(&ticket)?;
        let busy = now.saturating_since(running.started);
        if let Some(account) = self.accounts.get_mut(&running.tenant) {
            let charged = running.charged;
            account.charge(
                &mut self.waiting,
                &running.tenant,
                busy.saturating_sub(charged),
            );
            account.refund(
                &mut self.waiting,
                &running.tenant,
                charged.saturating_sub(busy),
            );
        }
        Some(Finished {
            tenant: running.tenant,
            busy,
        })
    }

    /// Removes the account of a tenant without waiting or running statements.
    pub(super) fn forget(&mut self, tenant: &TenantName) {
        self.accounts.remove(tenant);
    }

    /// Raises the baseline to the least virtual time of the waiting tenants, or of the running ones if none
    /// waits. Slots that a tenant used while no other tenant waited are then not charged against it.
    fn raise_baseline(&mut self) {
        let waiting = self.waiting.first().map(|order_key| order_key.virtual_time);
        if let Some(waiting) = waiting {
            self.baseline = self.baseline.max(waiting);
            return;
        }
        let tenants = self.running.values().map(|running| &running.tenant);
        let running = tenants
            .filter_map(|tenant| self.accounts.get(tenant))
            .map(|account| account.virtual_time)
            .min();
        if let Some(running) = running {
            self.baseline = self.baseline.max(running);
        }
    }
}

impl Account {
    fn order_key(&self, tenant: &TenantName) -> OrderKey {
        OrderKey {
            virtual_time: self.virtual_time,
            wait_number: self.wait_number.unwrap_or_default(),
            tenant: tenant.clone(),
        }
    }

    fn charge(&mut self, waiting: &mut BTreeSet<OrderKey>, tenant: &TenantName, time: Duration) {
        let virtual_time = self.virtual_time.plus(time, self.weight);
        self.move_to(virtual_time, waiting, tenant);
    }

    fn refund(&mut self, waiting: &mut BTreeSet<OrderKey>, tenant: &TenantName, time: Duration) {
        let virtual_time = self.virtual_time.minus(time, self.weight);
        self.move_to(virtual_time, waiting, tenant);
    }

    fn move_to(
        &mut self,
        virtual_time: VirtualTime,
        waiting: &mut BTreeSet<OrderKey>,
        tenant: &TenantName,
    ) {
        if virtual_time == self.virtual_time {
            return;
        }
        let waits = self.wait_number.is_some();
        if waits {
            waiting.remove(&self.order_key(tenant));
        }
        self.virtual_time = virtual_time;
        if waits {
            waiting.insert(self.order_key(tenant));
        }
    }
}
