//! Leadership of database groups: confirms the primary of each group, detects its loss, and replaces it.
//!
//! - [`confirm`] and [`checks`]: find out whether a database leads its group. [`checks`] adds the questions
//!   that a node has to ask while it is isolated.
//! - [`suspicion`]: probes primaries that fail this node and reports them to the failover coordinator.
//! - [`coordinator`], [`contact`], [`grants`]: elect the failover coordinator, and track whether this node
//!   would receive a fence around a primary that is being replaced.
//! - [`failover`] (with the causes in `cause`) and [`fence`], on the coordinator only: decide that a
//!   primary is replaced, have all nodes stop using it, and appoint its successor.
//!
//! Owns what this node found out about leaders, and the state of running failovers. Relies on `database`,
//! `fleet` and `store`; appointments go through the adapter ([`PrimaryControl`](crate::ports::PrimaryControl)).

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
mod resumption;
mod retirement;
mod survey;
mod suspensions;
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

/// The parts of leadership handling that run on every node, coordinator or not.
pub struct Leadership {
    /// Checks whether a database still leads.
    pub checks: Rc<LeadershipChecks>,
    /// Confirms that databases lead.
    pub confirmations: Rc<Confirmations>,
    /// Probes primaries that fail this node.
    pub suspicions: Rc<Suspicions>,
    /// Requests and answers grants of the failover coordinator.
    pub grants: Rc<Grants>,
    /// Runs the gateway's own statements at databases.
    statements: Rc<OwnStatements>,
    fleet: Rc<Fleet>,
}

impl Leadership {
    /// Builds the parts for a node that connects to databases through `access`.
    pub fn new(access: &Rc<DatabaseAccess>, feed: &Rc<Feed>) -> Rc<Self> {
        let DatabaseAccess { fleet, databases } = &**access;
        let statements = OwnStatements::new(access.clone());
        let suspicions = Suspicions::new(access.clone());
        let cx = fleet.cx.clone();
        let checks = LeadershipChecks::new(cx, databases.clone(), statements.clone());
        let confirmations = Confirmations::new(
            databases.clone(),
            fleet.clone(),
            checks.clone(),
            statements.clone(),
            suspicions.clone(),
        );
        Rc::new(Self {
            checks,
            confirmations,
            suspicions,
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

    fn settle_contest(self: Rc<Self>, group: &GroupName) {
        self.confirmations.search_primary(group);
    }

    fn suspect(self: Rc<Self>, target: &Target) {
        self.suspicions.suspect(target);
    }

    fn report_lost(&self, target: &Target) {
        self.suspicions.report(target);
    }

    fn check_primaries(&self) {
        self.fleet.coordinator.attention.notify_one();
    }
}
