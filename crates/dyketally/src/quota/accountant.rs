//! Token accounts of tenants, from which an accountant or a stand-in issues tokens to other nodes.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::bucket::Bucket;
use crate::identifiers::TenantName;
use crate::tenant::Quota;
use crate::time::Timestamp;

/// Longest time for which a token is promised in advance: an operation that waits this long still
/// finishes in time, one that waits longer delays others.
const MAX_PROMISE_WAIT: Duration = Duration::from_millis(200);
/// Longest retry-after that a refused caller gets.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time without requests after which an account counts as new: another node may have issued tokens
/// meanwhile.
const NEW_ACCOUNT_AFTER: Duration = Duration::from_secs(1);
/// Share of the burst that a new account starts with. What the predecessor issued is not known; with a
/// quarter of the burst, a window in which the accountant changes stays within the tolerance.
const INITIAL_BURST_SHARE: f64 = 0.25;
/// Divides the tolerated excess of a window (its operations beyond rate and burst); the quotient is added
/// to each burst, so that a small tenant that keeps its rate is not refused by chance. A tenant with a
/// rate of 3 operations per second that sent 1.9 per second at random times had 67 of 2,290 operations
/// refused without the addition, and none of 2,265 with a third of a tolerance of 20. The rest of the
/// tolerance is for accountants that take over and for nodes without an accountant.
const SPARE_DIVISOR: u32 = 3;

/// Share of its rate from which a tenant could exceed the rate if several nodes issued tokens for it. With
/// 0.4, two sides of a network partition together stay within 1.2 times the rate, however the nodes are
/// divided between them.
const BUSY_SHARE: f64 = 0.4;
/// Length of a window in which token requests are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Least share of the rate with which waits are calculated; a lesser share counts as this one.
const MIN_SHARE: f64 = 0.001;

/// The role in which a node issues tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The node is the tenant's accountant, as far as the requester knows.
    Accountant,
    /// The node replaces an accountant that the requester does not reach.
    StandIn,
}

/// Reply to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// `operations` operations may run.
    Granted {
        /// Number of operations, at least one.
        operations: u32,
        /// Time after which the first operation may run; the others may run at once.
        after: Duration,
        /// True while less than half of the burst is available: the tenant uses more than its rate.
        strained: bool,
    },
    /// No operation may run.
    Refused {
        /// Time after which the caller may retry. Refused callers get different times, so that they retry
        /// one after the other.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    last_request: Timestamp,
    demand: Demand,
    /// Earliest time at which the next refused caller may retry, one interval after the one before it.
    next_retry: Timestamp,
}

/// Token requests counted in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    window_start: Timestamp,
    current: u32,
    previous: u32,
}

impl Demand {
    fn count(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.window_start);
        if elapsed >= DEMAND_WINDOW {
            self.previous = if elapsed < DEMAND_WINDOW * 2 {
                self.current
            } else {
                0
            };
            self.current = 0;
            self.window_start = now;
        }
        self.current += 1;
    }

    fn last_second(&self, now: Timestamp) -> u32 {
        match now.saturating_since(self.window_start) < DEMAND_WINDOW * 2 {
            true => self.current.max(self.previous),
            false => 0,
        }
    }
}

/// The token accounts that this node keeps, one for each tenant.
#[derive(Clone, Debug)]
pub struct Accountant {
    accounts: HashMap<TenantName, Account>,
    tolerated_excess: u32,
    initial_share: f64,
}

impl Accountant {
    /// Creates an accountant without accounts. A window may hold `tolerated_excess` operations more than a
    /// tenant's rate and burst allow.
    pub fn new(tolerated_excess: u32) -> Self {
        Self {
            accounts: HashMap::new(),
            tolerated_excess,
            initial_share: INITIAL_BURST_SHARE,
        }
    }

    /// Sets the share of a tenant's burst that new accounts start with.
    pub fn with_new_share(mut self, initial_share: f64) -> Self {
        self.initial_share = initial_share;
        self
    }

    /// Decides on a request for tokens for `wanted` operations of `tenant`; zero counts as one. `reach` is
    /// the share of all nodes that this node reaches. Where other nodes may issue tokens for the tenant
    /// too, this node issues only that share of the rate.
    pub fn decide(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        quota: Quota,
        wanted: u32,
        role: Role,
        reach: f64,
    ) -> Decision {
        let spare = self.tolerated_excess / SPARE_DIVISOR;
        let quota = Quota {
            burst: quota.burst + spare,
            ..quota
        };
        let share = f64::from(quota.burst) * self.initial_share;
        let initial_tokens = quota.burst.min(spare).max(share as u32);
        let initial_tokens = match role {
            Role::Accountant => initial_tokens.max(1),
            Role::StandIn => (initial_tokens / 2).max(1),
        };
        let account = self
            .accounts
            .entry(tenant.clone())
            .or_insert_with(|| Account {
                bucket: Bucket::with(initial_tokens, now),
                last_request: now,
                demand: Demand::default(),
                next_retry: now,
            });
        account.demand.count(now);
        let share = match account.needs_reach(now, quota, role) {
            true => reach,
            false => 1.0,
        };
        account.bucket.refill(now, quota, share);
        let is_new = now.saturating_since(account.last_request) >= NEW_ACCOUNT_AFTER;
        if is_new || role == Role::StandIn {
            account.bucket.cap(initial_tokens);
        }
        account.last_request = now;
        account.decide(now, quota, wanted, share)
    }

    /// True when the result of [`Accountant::decide`] for `tenant` depends on `reach`, so that the caller
    /// has to determine it.
    pub fn needs_reach(
        &self,
        now: Timestamp,
        tenant: &TenantName,
        quota: Quota,
        role: Role,
    ) -> bool {
        let account = self.accounts.get(tenant);
        account.is_some_and(|account| account.needs_reach(now, quota, role))
    }
}

impl Account {
    fn needs_reach(&self, now: Timestamp, quota: Quota, role: Role) -> bool {
        let rate = quota.rate.millionths_in(DEMAND_WINDOW) as f64 / 1e6;
        let is_busy = f64::from(self.demand.last_second(now)) >= rate * BUSY_SHARE;
        role == Role::StandIn || is_busy || self.bucket.is_low(quota)
    }

    fn decide(&mut self, now: Timestamp, quota: Quota, wanted: u32, share: f64) -> Decision {
        let strained = self.bucket.is_low(quota);
        let operations = self.bucket.take(wanted.max(1));
        if operations > 0 {
            return Decision::Granted {
                operations,
                after: Duration::ZERO,
                strained,
            };
        }
        let slowdown = share.max(MIN_SHARE).recip();
        let wait = self.bucket.wait_for_one(quota).mul_f64(slowdown);
        if wait <= MAX_PROMISE_WAIT {
            self.bucket.promise();
            return Decision::Granted {
                operations: 1,
                after: wait,
                strained,
            };
        }
        let free = self.next_retry.max(now + wait);
        let earliest = free.min(now + MAX_RETRY_AFTER);
        self.next_retry = earliest + quota.rate.interval().mul_f64(slowdown);
        Decision::Refused {
            retry_after: earliest.saturating_since(now),
        }
    }
}
