//! Who leads each group: confirming it, noticing that a primary is lost, and replacing it.
//!
//! - [`confirm`] and [`checks`]: whether a database leads, as this node and as an isolated one may know.
//! - [`suspicion`]: primaries that fail this node are probed and reported to the failover coordinator.
//! - [`coordinator`], [`contact`], [`grants`]: which node is the coordinator, and whether a node would
//!   receive the fence of a primary that is replaced.
//! - [`failover`] (with the reasons in `cause`) and [`fence`], on the coordinator only: decides that a
//!   primary is replaced, has all nodes stop using it, and appoints another.
//!
//! Owns what this node found out about leaders, and the rounds of failovers. Relies on `database`, `fleet`
//! and `store`; asks the adapter for appointments ([`PrimaryControl`](crate::ports::PrimaryControl)).

mod appointment;
mod cause;
pub mod checks;
pub mod confirm;
pub mod contact;
pub mod coordinator;
pub mod failover;
pub mod fence;
pub mod grants;
mod handover;
pub mod own_statements;
mod poll;
mod replacement;
mod survey;
pub mod suspicion;

use std::rc::Rc;

use dyketally::identifiers::GroupName;

use self::checks::LeadershipChecks;
use self::confirm::Confirmations;
use self::grants::Grants;
use self::own_statements::OwnStatements;
use self::suspicion::Suspicions;
use crate::database::primary::PrimaryWatch;
use crate::database::target::Target;
use crate::fleet::Fleet;
use crate::fleet::access::DatabaseAccess;
use crate::store::feed::Feed;

/// What every node does about the leaders of groups.
pub struct Leadership {
    /// Whether a database still leads.
    pub checks: Rc<LeadershipChecks>,
    /// Confirms that databases lead.
    pub confirmations: Rc<Confirmations>,
    /// Probes primaries that fail this node.
    pub suspicions: Rc<Suspicions>,
    /// The failover coordinator's grants.
    pub grants: Rc<Grants>,
    /// Runs statements of this node's own.
    statements: Rc<OwnStatements>,
    fleet: Rc<Fleet>,
}

impl Leadership {
    /// The parts of a node that reaches databases by `access`.
    pub fn new(access: &Rc<DatabaseAccess>, feed: &Rc<Feed>) -> Rc<Self> {
        let DatabaseAccess { fleet, databases } = &**access;
        let statements = OwnStatements::new(access.clone());
        let cx = fleet.cx.clone();
        let checks = LeadershipChecks::new(cx, databases.clone(), statements.clone());
        let confirmations = Confirmations::new(
            databases.clone(),
            fleet.clone(),
            checks.clone(),
            statements.clone(),
        );
        Rc::new(Self {
            checks,
            confirmations,
            suspicions: Suspicions::new(access.clone()),
            grants: Grants::new(fleet.clone(), databases.clone(), feed.clone()),
            statements,
            fleet: fleet.clone(),
        })
    }
}

impl PrimaryWatch for Leadership {
    fn primary_is_unconfirmed(&self, group: &GroupName) -> bool {
        self.checks.primary_is_unconfirmed(group)
    }

    fn suspect(self: Rc<Self>, target: &Target) {
        self.suspicions.suspect(target);
    }

    fn report(&self, target: &Target) {
        self.suspicions.report(target);
    }

    fn look_at_primaries(&self) {
        self.fleet.coordinator.attention.notify_one();
    }
}
