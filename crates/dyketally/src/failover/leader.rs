//! Finds the leader of a group in what its databases report.
//!
//! A former primary that was cut off still says that it leads when it returns. Each promotion begins a new term, so the
//! terms tell which of two databases led later; the order in which a node hears of them doesn't.

use crate::statement::DatabaseStatus;

/// The newest term that any database of a group reports; zero without a report.
pub fn newest_term(statuses: &[Option<DatabaseStatus>]) -> u64 {
    let known = statuses.iter().flatten();
    let terms = known.map(|status| status.term.max(status.received.term.0));
    terms.max().unwrap_or(0)
}

/// The index of the database that leads; `None` if none reports that it leads in the newest term.
pub fn newest_leader(statuses: &[Option<DatabaseStatus>]) -> Option<usize> {
    let newest = newest_term(statuses);
    statuses
        .iter()
        .position(|status| status.is_some_and(|status| status.leads && status.term == newest))
}
