//! Chooses the database that takes over from a lost primary.

use crate::group::LogPosition;
use crate::identifiers::DatabaseName;

/// A database that could take over as the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the database.
    pub name: DatabaseName,
    /// End of the log that the database has received; `None` when it did not report one.
    pub received: Option<LogPosition>,
    /// True when the database accepts new statements and isn't leaving.
    pub ready: bool,
    /// True when the database has just started and can take only little load, see [`crate::slow_start`].
    pub cold: bool,
    /// Tie-break between equal logs: the candidate with the smaller value is preferred.
    pub preference: u32,
}

/// The result of choosing a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Succession {
    /// The named database takes over.
    Promote(DatabaseName),
    /// Too few candidates have reported their log; an acknowledged commit could be missing from all of the
    /// known logs. Query the candidates again.
    TooFewLogs {
        /// Number of logs known.
        known: usize,
        /// Number of logs needed.
        needed: usize,
    },
    /// No candidate may take over.
    NoCandidate,
}

/// Chooses the candidate with the longest log. Among equal logs, a ready candidate is preferred, then a
/// warm one, then the one with the smallest `preference`.
///
/// `replicas` is the number of all replicas of the group, unreachable ones included. `acknowledging` is the
/// number of replicas that must have received a commit before it is acknowledged. If it is 0, one known log
/// is enough and only ready candidates are eligible. Otherwise enough logs have to be known that at least
/// one holds every acknowledged commit, and a candidate with the longest log is eligible even when it isn't
/// ready.
pub fn choose_successor(
    candidates: &[Candidate],
    replicas: usize,
    acknowledging: usize,
) -> Succession {
    let known = candidates
        .iter()
        .filter(|candidate| candidate.received.is_some());
    let needed = match acknowledging {
        0 => 1,
        _ => (replicas + 1).saturating_sub(acknowledging).max(1),
    };
    let count = known.clone().count();
    if count < needed {
        return Succession::TooFewLogs {
            known: count,
            needed,
        };
    }
    let longest = known.clone().map(|candidate| candidate.received).max();
    let ready = known.filter(|candidate| candidate.ready || acknowledging > 0);
    let eligible =
        ready.filter(|candidate| acknowledging == 0 || Some(candidate.received) == longest);
    let best = eligible.max_by_key(|candidate| {
        (
            candidate.received,
            candidate.ready,
            !candidate.cold,
            std::cmp::Reverse(candidate.preference),
        )
    });
    match best {
        Some(best) => Succession::Promote(best.name.clone()),
        None => Succession::NoCandidate,
    }
}

/// True when at least `acknowledging` of the replicas whose logs end at `received` have the primary's log up to `end`.
/// They then hold every commit that was acknowledged before.
pub fn is_received(
    received: impl Iterator<Item = Option<LogPosition>>,
    end: LogPosition,
    acknowledging: usize,
) -> bool {
    received.filter(|it| *it >= Some(end)).count() >= acknowledging
}

/// Removes the cold candidates if there is at least one warm one. For use where the successor's log is
/// waited for: there any candidate is suitable.
pub fn retain_warm(candidates: &mut Vec<Candidate>) {
    if candidates.iter().any(|candidate| !candidate.cold) {
        candidates.retain(|candidate| !candidate.cold);
    }
}
