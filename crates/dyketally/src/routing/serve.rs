//! A home's decision whether its database may serve a request: serve, wait or redirect.

use std::time::Duration;

use crate::group::{GroupView, SeenStatus, Term};
use crate::identifiers::DatabaseName;
use crate::policy::Access;
use crate::session::Freshness;
use crate::time::Timestamp;

/// Limits on how long a home holds a read while its replica lacks the read's position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeSettings {
    /// Longest wait for a replica to reach a read's position, counted from the read's arrival. After it
    /// the read is redirected to the primary.
    pub replica_wait: Duration,
    /// Time between two status requests to a replica that lacks a read's position.
    pub ask_interval: Duration,
}

impl Default for ServeSettings {
    fn default() -> Self {
        Self {
            replica_wait: Duration::from_millis(10),
            ask_interval: Duration::from_millis(1),
        }
    }
}

/// A request that has arrived at the home of `database`, with the connection that would run it.
#[derive(Clone, Copy, Debug)]
pub struct ServeRequest<'a> {
    /// The home's own database.
    pub database: &'a DatabaseName,
    /// Whether the request reads or writes.
    pub access: Access,
    /// How fresh the database must be.
    pub freshness: Freshness,
    /// When the request arrived at the home.
    pub arrived_at: Timestamp,
    /// When the connection that would run the request was opened, on the same clock as
    /// [`SeenStatus::asked_at`]; `None` without a connection. A read that needs a position must have a
    /// connection before the status is requested.
    pub connection_opened_at: Option<Timestamp>,
}

/// What the home does next with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServeDecision {
    /// Run the request. A write must still be confirmed before it is acknowledged.
    Serve,
    /// Run the request, and hold the reply until a confirmation round that begins now confirms this
    /// term.
    ServeConfirmed {
        /// The term in which the database is the primary.
        term: Term,
    },
    /// Request the database's status, then decide again.
    AskStatus,
    /// The database lacks the position: request its status at this time, then decide again.
    WaitUntil(Timestamp),
    /// Another database must serve the request.
    Redirect {
        /// The primary as far as this home knows; `None` if it knows none.
        primary: Option<DatabaseName>,
        /// The primary's term, or the highest known term if no primary is known.
        term: Term,
    },
}

/// Decides what to do with `request` according to the group's state at `now`.
///
/// A status that shows a database to be fresh enough stays valid while the database runs, because a
/// confirmed write is never removed from a log. A restart may lose the log, but it also closes the
/// connections that were open before. So the status must have been requested after the connection
/// was opened.
pub fn decide(
    view: &GroupView,
    request: ServeRequest<'_>,
    settings: ServeSettings,
    now: Timestamp,
) -> ServeDecision {
    match (request.access, request.freshness) {
        (Access::Write, _) => serve_at_primary(view, request.database, |_| ServeDecision::Serve),
        (Access::Read, Freshness::Any) => ServeDecision::Serve,
        (Access::Read, Freshness::Current) => serve_current(view, request.database),
        (Access::Read, Freshness::AtLeast(position)) => {
            let seen = view.status(request.database);
            match seen.filter(|seen| covers_connection(*seen, request)) {
                None => ServeDecision::AskStatus,
                Some(seen) if seen.status.log.contains(position) => ServeDecision::Serve,
                Some(seen) => decide_for_stale(view, request, settings, seen, now),
            }
        }
    }
}

/// True when the status was requested after the connection was opened.
fn covers_connection(seen: SeenStatus, request: ServeRequest<'_>) -> bool {
    request
        .connection_opened_at
        .is_some_and(|opened_at| seen.asked_at >= opened_at)
}

/// Decides about a read whose position the database's log lacked in the status `seen`.
fn decide_for_stale(
    view: &GroupView,
    request: ServeRequest<'_>,
    settings: ServeSettings,
    seen: SeenStatus,
    now: Timestamp,
) -> ServeDecision {
    let leads = view
        .primary()
        .is_some_and(|(primary, _)| &primary == request.database);
    if leads {
        // The position may never have been confirmed and be lost. A confirmed primary has all writes
        // that were, so it serves the read.
        return serve_current(view, request.database);
    }
    if seen.asked_at < request.arrived_at {
        return ServeDecision::AskStatus;
    }
    let next = seen.asked_at + settings.ask_interval;
    if now >= request.arrived_at + settings.replica_wait {
        return redirect(view);
    }
    if next <= now {
        ServeDecision::AskStatus
    } else {
        ServeDecision::WaitUntil(next)
    }
}

fn serve_current(view: &GroupView, database: &DatabaseName) -> ServeDecision {
    serve_at_primary(view, database, |term| ServeDecision::ServeConfirmed {
        term,
    })
}

fn serve_at_primary(
    view: &GroupView,
    database: &DatabaseName,
    serve: impl FnOnce(Term) -> ServeDecision,
) -> ServeDecision {
    match view.primary() {
        Some((primary, term)) if &primary == database => serve(term),
        _ => redirect(view),
    }
}

fn redirect(view: &GroupView) -> ServeDecision {
    match view.primary() {
        Some((primary, term)) => ServeDecision::Redirect {
            primary: Some(primary),
            term,
        },
        None => ServeDecision::Redirect {
            primary: None,
            term: view.highest_term(),
        },
    }
}
