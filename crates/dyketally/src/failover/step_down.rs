//! Evaluates a primary's answer to a request to step down.
//!
//! The request turns a primary of a lower term into a replica and changes nothing at any other database. The answer is the
//! database's status either way, so only its role and term tell whether the primary has stepped down.

use crate::group::LogPosition;
use crate::statement::DatabaseStatus;

/// What a primary's answer to a request to step down shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownAnswer {
    /// The database is a replica now, and this is the end of its log.
    SteppedDown(LogPosition),
    /// The database still leads. Only a request in this term or a later one can take effect.
    StillLeads {
        /// The earliest term for the next request.
        term: u64,
    },
    /// The database follows a leader of a later term than the requested one, so its log isn't the newest.
    Superseded,
}

/// Evaluates the `status` with which a primary answered a request to step down in `requested_term`.
pub fn evaluate_step_down(status: &DatabaseStatus, requested_term: u64) -> StepDownAnswer {
    if status.leads {
        let term = requested_term.max(status.term + 1);
        return StepDownAnswer::StillLeads { term };
    }
    match status.term > requested_term {
        true => StepDownAnswer::Superseded,
        false => StepDownAnswer::SteppedDown(status.received),
    }
}
