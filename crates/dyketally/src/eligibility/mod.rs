//! Eligibility: whether a statement may run at a database now, and whether its text may pass through
//! a node.
//!
//! Every path that sends something to a database asks [`judge`], and sends it with the
//! [`Permission`] that it got: a path that forgets to ask doesn't compile.

mod evacuations;
mod moves;
mod preference;
mod regions;

use std::time::Duration;

use crate::identifiers::{DatabaseName, RegionName};

pub use evacuations::{EvacuationChange, Evacuations};
pub use moves::Moves;
pub use preference::{Demand, best_regions, preferred_region};
pub use regions::ServingRegions;

/// Share of the drain bound for which a leaving primary still gets work when nobody succeeds it.
const LEAVING_PRIMARY_SHARE: f64 = 0.6;
/// Share of the evacuation bound for which a primary in an evacuated zone still gets work: a planned
/// handover takes about a second, and the news of the evacuation up to another one.
const EVACUATED_PRIMARY_SHARE: f64 = 0.35;
/// Share of the evacuation bound for which transactions that are open there go on.
const EVACUATED_TRANSACTION_SHARE: f64 = 0.5;

/// What is to be sent to a database.
#[derive(Clone, Debug)]
pub struct Intent {
    /// Where it may run, by its route and its tenant.
    pub regions: ServingRegions,
    /// True when only a leading database may answer it.
    pub needs_leader: bool,
    /// False within a transaction that is open at the database.
    pub begins: bool,
}

impl Intent {
    /// A single statement, or the first one of a transaction.
    pub fn first(regions: &ServingRegions, needs_leader: bool) -> Self {
        Self {
            regions: regions.clone(),
            needs_leader,
            begins: true,
        }
    }

    /// A further statement of a transaction: what the configuration allowed as it began binds it.
    pub fn further(needs_leader: bool) -> Self {
        Self {
            regions: ServingRegions::anywhere(),
            needs_leader,
            begins: false,
        }
    }
}

/// How a database stands.
#[derive(Clone, Copy, Debug)]
pub struct Standing<'a> {
    /// The database.
    pub database: &'a DatabaseName,
    /// The region that it runs in.
    pub region: &'a RegionName,
    /// True while it may be replaced by another primary.
    pub fenced: bool,
    /// For how long it has been leaving, if it is.
    pub leaving_for: Option<Duration>,
    /// For how long its zone has been evacuated, if it is.
    pub evacuated_for: Option<Duration>,
    /// True when another database of the group could take over.
    pub has_successor: bool,
}

/// How long a database may get work after it shouldn't any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EligibilityBounds {
    /// From the time at which a database says that it leaves.
    pub drain: Duration,
    /// From the time at which an evacuation was requested.
    pub evacuation: Duration,
}

/// Leave to send one batch to one database. It is used up by sending.
#[derive(Debug)]
#[must_use = "a permission is given to whoever sends"]
pub struct Permission {
    database: DatabaseName,
}

impl Permission {
    /// For what the gateway asks on its own behalf and that runs nothing of callers: a database's
    /// status, the steps of a succession, the end of a transaction.
    pub fn control(database: &DatabaseName) -> Self {
        Self {
            database: database.clone(),
        }
    }

    /// True when it is for `database`.
    pub fn is_for(&self, database: &DatabaseName) -> bool {
        &self.database == database
    }
}

/// Why a statement may not run at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Denial {
    /// No database is known to lead the group.
    #[error("no database is known to lead the group; wait until one is appointed")]
    Leaderless,
    /// The database may be replaced at this moment.
    #[error("the primary is being replaced; wait until another one leads")]
    BeingReplaced,
    /// The database leaves.
    #[error("the database is leaving; use another one")]
    Leaving,
    /// The database's zone is evacuated, and another database can take over.
    #[error("the database's zone is evacuated; wait until another one leads")]
    Evacuated,
    /// The database's zone is evacuated, and no database elsewhere can take over.
    #[error(
        "all databases that could serve it are in evacuated zones; take a zone back or add a database elsewhere"
    )]
    EvacuatedEverywhere,
    /// The database isn't in a region that serves the route and the tenant.
    #[error(
        "no database of the group may serve it in the regions of its route and tenant; widen their serving regions or move the primary into them"
    )]
    OutsideRegions,
}

impl Denial {
    /// True when waiting for a moment won't help.
    pub fn is_lasting(self) -> bool {
        match self {
            Self::EvacuatedEverywhere | Self::OutsideRegions => true,
            Self::Leaderless | Self::BeingReplaced | Self::Leaving | Self::Evacuated => false,
        }
    }

    /// The kind, for counters.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Leaderless => "leaderless",
            Self::BeingReplaced => "being_replaced",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::EvacuatedEverywhere => "evacuated_everywhere",
            Self::OutsideRegions => "outside_regions",
        }
    }
}

/// Whether what `intent` tells may be sent to a database that stands as `standing` tells.
///
/// # Errors
/// Why it may not.
pub fn judge(
    intent: &Intent,
    standing: Standing<'_>,
    bounds: EligibilityBounds,
) -> Result<Permission, Denial> {
    if !intent.regions.allows(standing.region) {
        return Err(Denial::OutsideRegions);
    }
    if intent.begins && intent.needs_leader && standing.fenced {
        return Err(Denial::BeingReplaced);
    }
    if let Some(evacuated) = standing.evacuated_for
        && evacuated >= evacuation_grace(intent, bounds)
    {
        return Err(match standing.has_successor {
            true => Denial::Evacuated,
            false => Denial::EvacuatedEverywhere,
        });
    }
    if let Some(leaving) = standing.leaving_for
        && intent.begins
        && leaving >= drain_grace(intent, bounds)
    {
        return Err(Denial::Leaving);
    }
    Ok(Permission::control(standing.database))
}

/// For how long a database of an evacuated zone gets what `intent` tells. Replicas get nothing new at
/// once, since others serve reads as well.
fn evacuation_grace(intent: &Intent, bounds: EligibilityBounds) -> Duration {
    match (intent.begins, intent.needs_leader) {
        (true, false) => Duration::ZERO,
        (true, true) => bounds.evacuation.mul_f64(EVACUATED_PRIMARY_SHARE),
        (false, _) => bounds.evacuation.mul_f64(EVACUATED_TRANSACTION_SHARE),
    }
}

fn drain_grace(intent: &Intent, bounds: EligibilityBounds) -> Duration {
    match intent.needs_leader {
        true => bounds.drain.mul_f64(LEAVING_PRIMARY_SHARE),
        false => Duration::ZERO,
    }
}

/// True when the text of a statement that `regions` bind may pass through a node in `node`. The node
/// that its caller is connected to may hold it wherever it is, and isn't asked about.
pub fn may_pass(regions: &ServingRegions, node: &RegionName) -> bool {
    regions.allows(node)
}
