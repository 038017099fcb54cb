//! Permits for operations of tenants that have a quota. Before an operation's first statement is sent, a
//! permit is requested from the tenant's accountant; see [`dyketally::quota`].
//!
//! [`Quotas`] owns what this node has granted as an accountant, the operations that it may still permit,
//! and which nodes answered its requests. Depends on `fleet` for the nodes and for sending requests to
//! them.

mod permit_requests;
mod reachability;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dyketally::identifiers::TenantName;
use dyketally::quota::{Accountant, Allowance, Decision, Role};
use dyketally::tenant::{Quota, Tenant};
use tokio::time::Instant;

use self::permit_requests::PermitRequests;
use self::reachability::Reachability;
use crate::context::Context;
use crate::fleet::Fleet;
use crate::measures::Stage;

/// Minimum number of nodes that a node without a reachable accountant divides a quota by: after a start it
/// may not know yet how many nodes there are.
const MIN_NODES_ASSUMED: u32 = 32;

/// Quotas of tenants as this node enforces them.
pub struct Quotas {
    cx: Rc<Context>,
    fleet: Rc<Fleet>,
    accountant: RefCell<Accountant>,
    allowances: RefCell<HashMap<TenantName, Allowance>>,
    permit_requests: PermitRequests,
    reachability: Reachability,
}

impl Quotas {
    /// Quotas of a node that has just started.
    pub fn new(cx: Rc<Context>, fleet: Rc<Fleet>) -> Rc<Self> {
        let tolerated = cx.settings.bounds.quota_slack;
        Rc::new(Self {
            cx,
            fleet,
            accountant: RefCell::new(Accountant::new(tolerated)),
            allowances: RefCell::default(),
            permit_requests: PermitRequests::default(),
            reachability: Reachability::default(),
        })
    }

    fn allowance<T>(&self, tenant: &TenantName, act: impl FnOnce(&mut Allowance) -> T) -> T {
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances
            .entry(tenant.clone())
            .or_insert_with(|| Allowance::new(self.cx.now(), rand::random()));
        act(allowance)
    }
}

/// Permission to run one operation. Dropping it uses it up; [`Permit::give_back`] returns it for another
/// operation.
pub struct Permit {
    limited: Option<(Rc<Quotas>, TenantName)>,
}

impl Permit {
    /// Returns the permit of an operation that has not run.
    pub fn give_back(self) {
        if let Some((quotas, tenant)) = self.limited {
            let now = quotas.cx.now();
            quotas.allowance(&tenant, |allowance| allowance.give_back(now));
        }
    }
}

/// Error: the tenant has used up its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

impl Quotas {
    /// Obtains permission to run one operation of `tenant`, and waits for it no longer than `until`.
    ///
    /// # Errors
    /// The tenant has used up its quota.
    pub async fn permit(
        self: &Rc<Self>,
        tenant: Option<&Arc<Tenant>>,
        until: Instant,
    ) -> Result<Permit, QuotaExceeded> {
        let limited = tenant.and_then(|tenant| Some((tenant, tenant.quota?)));
        let Some((tenant, quota)) = limited else {
            return Ok(Permit { limited: None });
        };
        let name = &tenant.name;
        let now = self.cx.now();
        let held = |allowance: &mut Allowance| allowance.take(now);
        if !self.allowance(name, held) {
            let began = Instant::now();
            let obtained = self.obtain(name, quota, until).await;
            self.cx
                .measures
                .record_stage(Stage::Permit, began.elapsed());
            obtained.inspect_err(|_| {
                self.cx.counters.over_quota.add();
                self.cx.measures.refused_over_quota(name);
            })?;
        }
        Ok(Permit {
            limited: Some((self.clone(), name.clone())),
        })
    }

    async fn obtain(
        self: &Rc<Self>,
        tenant: &TenantName,
        quota: Quota,
        until: Instant,
    ) -> Result<(), QuotaExceeded> {
        let wanted = self.allowance(tenant, |allowance| allowance.wanted());
        let Some(decision) = self.request_permits(tenant, wanted, until).await else {
            return self.permit_without_accountant(tenant, quota);
        };
        match decision {
            Decision::Granted {
                operations,
                after,
                strained,
            } => {
                let now = self.cx.now();
                self.allowance(tenant, |allowance| {
                    allowance.granted(now, operations, strained);
                });
                tokio::time::sleep(after).await;
                Ok(())
            }
            Decision::Refused { retry_after } => Err(QuotaExceeded { retry_after }),
        }
    }

    /// Decides without an accountant, by this node's part of the quota.
    fn permit_without_accountant(
        &self,
        tenant: &TenantName,
        quota: Quota,
    ) -> Result<(), QuotaExceeded> {
        self.cx.counters.permits_alone.add();
        let nodes = u32::try_from(self.fleet.membership.node_count()).unwrap_or(u32::MAX);
        let nodes = nodes.max(MIN_NODES_ASSUMED);
        let now = self.cx.now();
        let alone = |allowance: &mut Allowance| allowance.take_alone(now, quota, nodes);
        let taken = self.allowance(tenant, alone);
        taken.map_err(|retry_after| QuotaExceeded { retry_after })
    }

    /// Decides in `role` on a request for `wanted` operations of `tenant`; `None` when the current
    /// configuration gives the tenant no quota.
    pub fn account(
        self: &Rc<Self>,
        tenant: &TenantName,
        wanted: u32,
        role: Role,
    ) -> Option<Decision> {
        let routes = self.cx.routes();
        let quota = routes.tenants.as_ref()?.tenant(tenant)?.quota?;
        let now = self.cx.now();
        let reach = self.reachability.share();
        let mut accountant = self.accountant.borrow_mut();
        let decision = accountant.decide(now, tenant, quota, wanted, role, reach);
        if accountant.needs_reach(now, tenant, quota, role) {
            self.measure_reachability();
        }
        Some(decision)
    }
}
