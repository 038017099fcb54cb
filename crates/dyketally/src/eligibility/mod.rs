//! Eligibility: whether a statement may run at a database now, and whether its text may pass through a
//! node.
//!
//! Every path that sends something to a database has to present a [`Permission`]. [`check_eligibility`] issues it for
//! callers' statements, so a path that skips the check doesn't compile.

mod evacuations;
mod moves;
mod preference;
mod regions;

use std::time::Duration;

use crate::identifiers::{DatabaseName, RegionName};

pub use evacuations::{EvacuationChange, Evacuations};
pub use moves::PrimaryMoves;
pub use preference::{Demand, acceptable_regions, preferred_region};
pub use regions::ServingRegions;

/// Fraction of [`EligibilityBounds::drain`] for which a leaving primary without a successor still gets new
/// statements.
const LEAVING_PRIMARY_FRACTION: f64 = 0.6;
/// Fraction of [`EligibilityBounds::evacuation`] for which a primary in an evacuated zone still gets new
/// statements. A planned handover takes about a second, and the request to evacuate may take up to another
/// second to arrive.
const EVACUATED_PRIMARY_FRACTION: f64 = 0.35;
/// Fraction of [`EligibilityBounds::evacuation`] for which open transactions in an evacuated zone may continue.
const EVACUATED_TRANSACTION_FRACTION: f64 = 0.5;

/// What a statement requires of the database that it is to be sent to.
#[derive(Clone, Debug)]
pub struct Intent {
    /// The regions in which the statement may run, by its route and its tenant.
    pub regions: ServingRegions,
    /// True when only a leading database (the primary) may answer the statement.
    pub needs_leader: bool,
    /// True for a single statement or the first one of a transaction; false within a transaction that is open at
    /// the database.
    pub is_first: bool,
}

impl Intent {
    /// For a single statement, or the first one of a transaction.
    pub fn first(regions: &ServingRegions, needs_leader: bool) -> Self {
        Self {
            regions: regions.clone(),
            needs_leader,
            is_first: true,
        }
    }

    /// For a further statement of a transaction. Its region isn't checked again: the transaction keeps what the
    /// configuration allowed when it began.
    pub fn in_transaction(needs_leader: bool) -> Self {
        Self {
            regions: ServingRegions::anywhere(),
            needs_leader,
            is_first: false,
        }
    }
}

/// The state of a database, as far as eligibility depends on it.
#[derive(Clone, Copy, Debug)]
pub struct DatabaseCondition<'a> {
    /// Name of the database.
    pub database: &'a DatabaseName,
    /// The region that the database runs in.
    pub region: &'a RegionName,
    /// True while the database is fenced: another primary may be replacing it.
    pub fenced: bool,
    /// Time since the database announced that it is leaving; `None` while it isn't.
    pub leaving_for: Option<Duration>,
    /// Time since the evacuation of the database's zone began; `None` while the zone isn't evacuated.
    pub evacuated_for: Option<Duration>,
    /// True when another database of the group could take over as the primary.
    pub has_successor: bool,
}

/// Upper bounds on the time for which a database that is to be emptied may still get statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EligibilityBounds {
    /// Bound from the time at which a database announces that it is leaving.
    pub drain: Duration,
    /// Bound from the time at which the evacuation of the database's zone was requested.
    pub evacuation: Duration,
}

/// Permission to send one batch to one database. Sending consumes it.
#[derive(Debug)]
#[must_use = "pass the permission to the call that sends the batch"]
pub struct Permission {
    database: DatabaseName,
}

impl Permission {
    /// A permission without a check, for requests that the gateway sends on its own behalf and that run no
    /// caller's statement: a database's status, the steps of a failover, the end of a transaction.
    pub fn control(database: &DatabaseName) -> Self {
        Self {
            database: database.clone(),
        }
    }

    /// True when the permission is for `database`.
    pub fn is_for(&self, database: &DatabaseName) -> bool {
        &self.database == database
    }
}

/// The reason for which a statement may not run at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Denial {
    /// No database is known to lead the group.
    #[error("no database is known to lead the group; wait until one is appointed")]
    Leaderless,
    /// The database is fenced: another primary may be replacing it.
    #[error("the primary is being replaced; wait until another one leads")]
    BeingReplaced,
    /// The database is leaving.
    #[error("the database is leaving; use another one")]
    Leaving,
    /// The database's zone is evacuated, and another database could take over.
    #[error("the database's zone is evacuated; wait until another one leads")]
    Evacuated,
    /// The database's zone is evacuated, and no database could take over.
    #[error(
        "all databases that could run the statement are in evacuated zones; end the evacuation of a zone \
         or add a database in another zone"
    )]
    EvacuatedEverywhere,
    /// The database has just started and accepts no more requests from this node for now, see
    /// [`crate::slow_start`].
    #[error(
        "the database has just started and accepts no more statements from this node for now; retry in a moment"
    )]
    Cold,
    /// The database's region isn't a serving region of both the route and the tenant.
    #[error(
        "no database of the group may run the statement in the serving regions of its route and tenant; \
         widen these regions or move the primary into them"
    )]
    OutsideRegions,
}

impl Denial {
    /// True when the reason doesn't go away by itself within moments, so that waiting is useless.
    pub fn is_lasting(self) -> bool {
        match self {
            Self::EvacuatedEverywhere | Self::OutsideRegions => true,
            Self::Leaderless
            | Self::BeingReplaced
            | Self::Leaving
            | Self::Evacuated
            | Self::Cold => false,
        }
    }

    /// Name of the reason, as counters report it.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Leaderless => "leaderless",
            Self::BeingReplaced => "being_replaced",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::EvacuatedEverywhere => "evacuated_everywhere",
            Self::Cold => "cold",
            Self::OutsideRegions => "outside_regions",
        }
    }
}

/// Checks whether a statement with the requirements `intent` may be sent to the database described by
/// `condition`, and issues the permission to send it.
///
/// # Errors
/// The reason for which the statement may not run at the database.
pub fn check_eligibility(
    intent: &Intent,
    condition: DatabaseCondition<'_>,
    bounds: EligibilityBounds,
) -> Result<Permission, Denial> {
    if !intent.regions.allows(condition.region) {
        return Err(Denial::OutsideRegions);
    }
    if intent.is_first && intent.needs_leader && condition.fenced {
        return Err(Denial::BeingReplaced);
    }
    if let Some(evacuated) = condition.evacuated_for
        && evacuated >= evacuation_grace(intent, bounds)
    {
        return Err(match condition.has_successor {
            true => Denial::Evacuated,
            false => Denial::EvacuatedEverywhere,
        });
    }
    if let Some(leaving) = condition.leaving_for
        && intent.is_first
        && leaving >= drain_grace(intent, bounds)
    {
        return Err(Denial::Leaving);
    }
    Ok(Permission::control(condition.database))
}

/// Time since the request to evacuate for which a database in the evacuated zone still gets statements with the
/// requirements `intent`. Zero for new statements at replicas, since replicas in other zones can run reads.
fn evacuation_grace(intent: &Intent, bounds: EligibilityBounds) -> Duration {
    match (intent.is_first, intent.needs_leader) {
        (true, false) => Duration::ZERO,
        (true, true) => bounds.evacuation.mul_f64(EVACUATED_PRIMARY_FRACTION),
        (false, _) => bounds.evacuation.mul_f64(EVACUATED_TRANSACTION_FRACTION),
    }
}

/// Time since a database announced that it is leaving for which it still gets new statements with the
/// requirements `intent`.
fn drain_grace(intent: &Intent, bounds: EligibilityBounds) -> Duration {
    match intent.needs_leader {
        true => bounds.drain.mul_f64(LEAVING_PRIMARY_FRACTION),
        false => Duration::ZERO,
    }
}

/// True when the text of a statement that is limited to `regions` may pass through a node in the region `node`.
/// Not to be called for the node that the caller is connected to: that node may hold the text in any region.
pub fn may_pass_through(regions: &ServingRegions, node: &RegionName) -> bool {
    regions.allows(node)
}
