//! Which database serves a read, and what shows that its answer is fresh enough.
//!
//! Databases are ranked by expected latency plus penalties in milliseconds, for example for a cold database
//! or one in another region. Any database qualifies whose log holds the position that the statement needs;
//! while this node doesn't know that position, it requests it from the primary.

use dyketally::group::LogPosition;
use dyketally::placement::Distance;

use crate::decision::Operation;

/// Penalty of a database in another region, in milliseconds: traffic between regions is expensive.
pub const REGION_PENALTY_MS: f64 = 25.0;
/// Penalty of a replica that probably lacks the position that a read needs, in milliseconds: about the time
/// lost by sending the read there without success.
pub const LIKELY_BEHIND_PENALTY_MS: f64 = 120.0;
/// Penalty of a replica that has just refused a read for lack of the position, in milliseconds: more than a
/// primary under load costs, so that the replica ranks last of the warm databases that aren't suspended.
pub const KNOWN_BEHIND_PENALTY_MS: f64 = 1_000.0;
/// Penalty of a database that has just started, in milliseconds: more than any wait at a warm database,
/// less than the penalty of one that doesn't answer.
pub const COLD_PENALTY_MS: f64 = 5_000.0;
/// Penalty of a suspended database, which has just failed, in milliseconds: it ranks last of all.
pub const SUSPENDED_PENALTY_MS: f64 = 10_000.0;

/// Expected latency of an idle database in this node's zone, in milliseconds. This figure and the two below
/// rank databases without samples, and are lower bounds for the estimates of all others. A statement takes
/// about 20 ms; the network adds 3 ms per round trip between zones and about 40 ms between regions.
const SAME_ZONE_MS: f64 = 20.0;
/// Expected latency of an idle database in another zone of this node's region, in milliseconds.
const SAME_REGION_MS: f64 = 23.0;
/// Expected latency of an idle database in another region, in milliseconds.
const OTHER_REGION_MS: f64 = 55.0;

/// Expected latency of an idle database at this distance, in milliseconds.
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
    /// True when this node treats it as the leader of its group.
    pub leads: bool,
    /// Expected latency under its current load, in milliseconds.
    pub latency_ms: f64,
    /// Distance from this node.
    pub distance: Distance,
    /// True when it recently lacked the needed position.
    pub was_behind: bool,
    /// True while it is in slow start and the random sample didn't admit this read to it.
    pub is_cold: bool,
    /// True while it is suspended after a failure.
    pub is_suspended: bool,
}

/// Ranking inputs that are the same for all candidates of a read.
#[derive(Clone, Copy, Debug)]
pub struct RankingInputs {
    /// Penalty of the primary, in milliseconds, from the settings. A higher penalty sends more reads to
    /// replicas.
    pub primary_penalty_ms: f64,
    /// True when the needed commit is younger than the usual replication lag, so that replicas probably lack
    /// it.
    pub replicas_likely_behind: bool,
}

impl Candidate {
    /// Expected latency plus all penalties, in milliseconds; the lowest cost ranks first.
    pub fn cost_ms(&self, inputs: RankingInputs) -> f64 {
        let mut cost = self.latency_ms;
        if self.leads {
            cost += inputs.primary_penalty_ms;
        }
        if self.distance == Distance::OtherRegion {
            cost += REGION_PENALTY_MS;
        }
        if self.is_replica_behind() {
            cost += KNOWN_BEHIND_PENALTY_MS;
        }
        if self.is_cold {
            cost += COLD_PENALTY_MS;
        }
        if self.is_suspended {
            cost += SUSPENDED_PENALTY_MS;
        }
        if inputs.replicas_likely_behind && !self.leads {
            cost += LIKELY_BEHIND_PENALTY_MS;
        }
        cost
    }

    /// True when a refused read may be sent to this database, provided that it wasn't tried yet.
    pub fn is_alternative(&self) -> bool {
        !self.was_behind && !self.is_suspended
    }

    fn is_replica_behind(&self) -> bool {
        !self.leads && self.was_behind
    }
}

/// The databases that may serve a read, best first. Replicas that recently lacked the position are excluded
/// while there is a primary.
pub fn ranked<T>(candidates: Vec<(Candidate, T)>, inputs: RankingInputs) -> Vec<(Candidate, T)> {
    let has_primary = candidates.iter().any(|(candidate, _)| candidate.leads);
    let mut ranked = candidates;
    ranked.retain(|(candidate, _)| !(has_primary && candidate.is_replica_behind()));
    ranked.sort_by(|(one, _), (other, _)| {
        let cost = one.cost_ms(inputs);
        cost.total_cmp(&other.cost_ms(inputs))
    });
    ranked
}

/// A database selected for the next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection<T> {
    /// It wasn't tried yet.
    Untried(T),
    /// All databases were tried; the selection starts over with the best one.
    Restart(T),
}

/// Selects the database for the next attempt from those that are `ranked`.
pub fn select_next<T>(ranked: Vec<T>, was_tried: impl Fn(&T) -> bool) -> Option<Selection<T>> {
    let untried = ranked.iter().position(|one| !was_tried(one));
    let mut ranked = ranked.into_iter();
    match untried {
        Some(place) => ranked.nth(place).map(Selection::Untried),
        None => ranked.next().map(Selection::Restart),
    }
}

/// What the database checks before it runs a statement, so that its answer is fresh enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessCheck {
    /// It leads its group.
    Leads,
    /// Its log holds the position.
    Holds(LogPosition),
}

/// What to do next for a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the statement to a database that makes this check.
    Send(FreshnessCheck),
    /// Request the current log position from the primary.
    RequestPosition,
}

/// True when databases are ranked before the position is requested from the primary: a read may turn out to
/// go to the primary anyway.
pub fn ranks_before_position_request(operation: Operation) -> bool {
    operation == Operation::Read
}

/// What to do next for a statement that needs the position `known`, or whose position isn't known yet.
/// `best_leads` tells whether the best database is the primary.
///
/// A read whose best database is the primary is sent there without a request for the position. The first
/// statement of a transaction requests the position even then.
pub fn next_step(operation: Operation, known: Option<LogPosition>, best_leads: bool) -> NextStep {
    match known {
        Some(position) => NextStep::Send(FreshnessCheck::Holds(position)),
        None if operation == Operation::Read && best_leads => NextStep::Send(FreshnessCheck::Leads),
        None => NextStep::RequestPosition,
    }
}

/// The check that a statement needs after the position was requested from the primary. If the primary
/// didn't answer, a read is sent to it, and the first statement of a transaction waits and requests the
/// position again (`None`).
pub fn check_after_position_request(
    operation: Operation,
    known: Option<LogPosition>,
) -> Option<FreshnessCheck> {
    match known {
        Some(position) => Some(FreshnessCheck::Holds(position)),
        None if operation == Operation::Read => Some(FreshnessCheck::Leads),
        None => None,
    }
}
