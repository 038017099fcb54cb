//! Busy slot time by tenant, and the order in which tenants get slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::submission::Ticket;
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Units of virtual time in one microsecond of slot time at weight 1.
const UNITS_PER_MICROSECOND: u64 = 1 << 10;

/// Slot time, at weight 1, by which a tenant that begins to wait may be behind the others. It lets
/// the few statements that a tenant within its share happens to send together pass those of
/// tenants beyond their share, and is all that idle time can be saved up to.
pub const SAVED_SLOT_TIME: Duration = Duration::from_millis(50);

/// Slot time divided by weight. The tenant with the least is served next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct VirtualTime(u64);

impl VirtualTime {
    fn more(self, slot_time: Duration, weight: u32) -> Self {
        VirtualTime(self.0.saturating_add(Self::of(slot_time, weight).0))
    }

    fn less(self, slot_time: Duration, weight: u32) -> Self {
        VirtualTime(self.0.saturating_sub(Self::of(slot_time, weight).0))
    }

    fn of(slot_time: Duration, weight: u32) -> Self {
        let microseconds = u64::try_from(slot_time.as_micros()).unwrap_or(u64::MAX);
        VirtualTime(microseconds.saturating_mul(UNITS_PER_MICROSECOND) / u64::from(weight))
    }
}

/// Place of a tenant with waiting statements. Equal times go by who began to wait first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    virtual_time: VirtualTime,
    began_to_wait: u64,
    tenant: TenantName,
}

#[derive(Debug)]
struct Account {
    weight: u32,
    virtual_time: VirtualTime,
    /// Number of the occasion on which the tenant began to wait; `None` while nothing waits.
    began_to_wait: Option<u64>,
}

#[derive(Debug)]
struct Running {
    tenant: TenantName,
    started: Timestamp,
    /// Slot time charged so far: the estimate, or the time elapsed once that is longer.
    charged: Duration,
}

/// A statement whose slot was given back.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) tenant: TenantName,
    pub(super) busy: Duration,
}

/// Accounts of slot time and the order that follows from them.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    accounts: BTreeMap<TenantName, Account>,
    waiting: BTreeSet<Place>,
    running: BTreeMap<Ticket, Running>,
    /// A tenant that begins to wait starts here, less [`SAVED_SLOT_TIME`] at the least. Never goes
    /// back.
    level: VirtualTime,
    occasions: u64,
}

impl Schedule {
    /// Statements that hold a slot.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// The tenant has statements that wait from now on, and this weight.
    pub(super) fn begin_waiting(&mut self, now: Timestamp, tenant: &TenantName, weight: u32) {
        let weight = weight.max(1);
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.weight = weight;
            if account.began_to_wait.is_some() {
                return;
            }
        }
        self.charge_overdue(now);
        self.raise_level();
        let account = self
            .accounts
            .entry(tenant.clone())
            .or_insert_with(|| Account {
                weight,
                virtual_time: VirtualTime::default(),
                began_to_wait: None,
            });
        let least = self.level.less(SAVED_SLOT_TIME, 1);
        account.virtual_time = account.virtual_time.max(least);
        account.began_to_wait = Some(self.occasions);
        self.occasions += 1;
        self.waiting.insert(account.place(tenant));
    }

    /// The tenant has no statement that waits any more.
    pub(super) fn end_waiting(&mut self, tenant: &TenantName) {
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        if account.began_to_wait.is_some() {
            self.waiting.remove(&account.place(tenant));
            account.began_to_wait = None;
        }
    }

    /// Charges statements that run longer than estimated for the time elapsed.
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

    /// Tenants with waiting statements, the one to serve next first.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &TenantName> {
        self.waiting.iter().map(|place| &place.tenant)
    }

    /// Gives a slot to a statement that is expected to be busy for `estimate`.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        ticket: Ticket,
        estimate: Duration,
    ) {
        self.raise_level();
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

    /// Takes the slot back and corrects the charge to the time it was really busy.
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

    /// Drops the account of a tenant that neither waits nor runs.
    pub(super) fn forget(&mut self, tenant: &TenantName) {
        self.accounts.remove(tenant);
    }

    /// Moves the level up to the least virtual time of the tenants that wait, or run if none
    /// waits, so that slots used while nobody else waited are not owed.
    fn raise_level(&mut self) {
        let waiting = self.waiting.first().map(|place| place.virtual_time);
        if let Some(waiting) = waiting {
            self.level = self.level.max(waiting);
            return;
        }
        let tenants = self.running.values().map(|running| &running.tenant);
        let running = tenants
            .filter_map(|tenant| self.accounts.get(tenant))
            .map(|account| account.virtual_time)
            .min();
        if let Some(running) = running {
            self.level = self.level.max(running);
        }
    }
}

impl Account {
    fn place(&self, tenant: &TenantName) -> Place {
        Place {
            virtual_time: self.virtual_time,
            began_to_wait: self.began_to_wait.unwrap_or_default(),
            tenant: tenant.clone(),
        }
    }

    fn charge(&mut self, waiting: &mut BTreeSet<Place>, tenant: &TenantName, time: Duration) {
        let virtual_time = self.virtual_time.more(time, self.weight);
        self.move_to(virtual_time, waiting, tenant);
    }

    fn refund(&mut self, waiting: &mut BTreeSet<Place>, tenant: &TenantName, time: Duration) {
        let virtual_time = self.virtual_time.less(time, self.weight);
        self.move_to(virtual_time, waiting, tenant);
    }

    fn move_to(
        &mut self,
        virtual_time: VirtualTime,
        waiting: &mut BTreeSet<Place>,
        tenant: &TenantName,
    ) {
        if virtual_time == self.virtual_time {
            return;
        }
        let waits = self.began_to_wait.is_some();
        if waits {
            waiting.remove(&self.place(tenant));
        }
        self.virtual_time = virtual_time;
        if waits {
            waiting.insert(self.place(tenant));
        }
    }
}
