//! Which database serves a read, and how it is proved that it may.
//!
//! Databases are ranked by the latency to expect of them, with penalties in milliseconds for what speaks
//! against them. Any database will do whose log holds the position that the statement needs; where
//! nobody knows that position, the primary is asked.

use dyketally::group::LogPosition;
use dyketally::placement::Distance;

use crate::decision::Operation;

/// Penalty of a database in another region, whose traffic is dear, in milliseconds. Not measured.
pub const REGION_PENALTY_MS: f64 = 25.0;
/// Penalty of a replica that probably lacks what a read needs, in milliseconds: about the time that asking
/// it in vain takes. The figure isn't measured.
pub const LAGGING_PENALTY_MS: f64 = 120.0;
/// Penalty of a replica that has just refused the position, in milliseconds: more than a primary under
/// load costs. It goes last of those that are in use. Not measured.
pub const BEHIND_PENALTY_MS: f64 = 1_000.0;
/// Penalty of a database that has just started, in milliseconds: more than any wait at a warm one, less
/// than what a database costs that doesn't answer.
pub const COLD_PENALTY_MS: f64 = 5_000.0;
/// Penalty of a database that failed a moment ago, in milliseconds: it goes last of all.
pub const SUSPENDED_PENALTY_MS: f64 = 10_000.0;

/// Latency to expect of an idle database in this node's zone, in milliseconds. These three order databases
/// that this node has no samples of yet, and are the least that is expected of any: a statement takes about
/// 20 ms, and the network adds 3 ms between zones and about 40 ms between regions, there and back. Not
/// measured.
const SAME_ZONE_MS: f64 = 20.0;
/// The same in another zone of this node's region.
const SAME_REGION_MS: f64 = 23.0;
/// The same in another region.
const OTHER_REGION_MS: f64 = 55.0;

/// Latency to expect of an idle database, in milliseconds.
pub fn expected_latency_ms(distance: Distance) -> f64 {
    match distance {
        Distance::SameZone => SAME_ZONE_MS,
        Distance::SameRegion => SAME_REGION_MS,
        Distance::OtherRegion => OTHER_REGION_MS,
    }
}

/// A database that may serve a read.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// True when it is taken to lead its group.
    pub leads: bool,
    /// The latency to expect of it under its load, in milliseconds.
    pub latency_ms: f64,
    /// Where it runs.
    pub distance: Distance,
    /// True when it lacked the needed position a moment ago.
    pub was_behind: bool,
    /// True while it has just started, unless the draw gave it this read.
    pub is_cold: bool,
    /// True when it failed a moment ago.
    pub is_suspended: bool,
}

/// What holds for all candidates of a read.
#[derive(Clone, Copy, Debug)]
pub struct Preferences {
    /// Penalty of the primary, in milliseconds, from the settings: the greater it is the more reads
    /// replicas serve.
    pub primary_penalty_ms: f64,
    /// True when commits as new as the read needs usually haven't reached replicas yet.
    pub is_too_new: bool,
}

impl Candidate {
    /// The latency to expect with all penalties, in milliseconds; the smallest goes first.
    pub fn cost_ms(&self, preferences: Preferences) -> f64 {
        let mut cost = self.latency_ms;
        if self.leads {
            cost += preferences.primary_penalty_ms;
        }
        if self.distance == Distance::OtherRegion {
            cost += REGION_PENALTY_MS;
        }
        if self.is_replica_behind() {
            cost += BEHIND_PENALTY_MS;
        }
        if self.is_cold {
            cost += COLD_PENALTY_MS;
        }
        if self.is_suspended {
            cost += SUSPENDED_PENALTY_MS;
        }
        if preferences.is_too_new && !self.leads {
            cost += LAGGING_PENALTY_MS;
        }
        cost
    }

    /// True when a refused read may as well be sent to this one, if it wasn't tried yet.
    pub fn is_alternative(&self) -> bool {
        !self.was_behind && !self.is_suspended
    }

    fn is_replica_behind(&self) -> bool {
        !self.leads && self.was_behind
    }
}

/// The databases that may serve a read, best first. A replica that was behind is left out while the
/// primary can be asked.
pub fn ranked<T>(candidates: Vec<(Candidate, T)>, preferences: Preferences) -> Vec<(Candidate, T)> {
    let has_primary = candidates.iter().any(|(candidate, _)| candidate.leads);
    let mut ranked = candidates;
    ranked.retain(|(candidate, _)| !(has_primary && candidate.is_replica_behind()));
    ranked.sort_by(|(one, _), (other, _)| {
        let cost = one.cost_ms(preferences);
        cost.total_cmp(&other.cost_ms(preferences))
    });
    ranked
}

/// A database that was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick<T> {
    /// It wasn't tried yet.
    Untried(T),
    /// All were tried, so that the statement goes round again, from the best.
    Again(T),
}

/// The database to try next of those that are `ranked`.
pub fn next<T>(ranked: Vec<T>, was_tried: impl Fn(&T) -> bool) -> Option<Pick<T>> {
    let untried = ranked.iter().position(|one| !was_tried(one));
    let mut ranked = ranked.into_iter();
    match untried {
        Some(place) => ranked.nth(place).map(Pick::Untried),
        None => ranked.next().map(Pick::Again),
    }
}

/// How an answer proves that it is fresh enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The database proves that it leads.
    Leads,
    /// The database's log holds the position.
    Holds(LogPosition),
}

/// What a statement needs next that needn't go to the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A database that gives this proof.
    Prove(Proof),
    /// The primary's answer to what its log holds.
    AskForPosition,
}

/// True when the best database is looked for before the primary is asked for the position: a read may go
/// to the primary anyway.
pub fn ranks_before_asking(operation: Operation) -> bool {
    operation == Operation::Read
}

/// Where a statement goes whose position is `known`, or has to be asked for; `best_leads` when the best
/// database is the primary.
///
/// A read that would go to the primary anyway goes there at once. A transaction that doesn't write asks
/// for the position even then.
pub fn way(operation: Operation, known: Option<LogPosition>, best_leads: bool) -> Way {
    match known {
        Some(position) => Way::Prove(Proof::Holds(position)),
        None if operation == Operation::Read && best_leads => Way::Prove(Proof::Leads),
        None => Way::AskForPosition,
    }
}

/// Which proof a statement needs once the primary was asked for the position; `None` when it waits.
/// Without an answer a read goes to the primary itself, a transaction waits and asks again.
pub fn proof_after_asking(operation: Operation, known: Option<LogPosition>) -> Option<Proof> {
    match known {
        Some(position) => Some(Proof::Holds(position)),
        None if operation == Operation::Read => Some(Proof::Leads),
        None => None,
    }
}
