//! A home's decision whether its database may serve a request.

use std::time::Duration;

use crate::group::{GroupView, SeenStatus, Term};
use crate::identifiers::DatabaseName;
use crate::policy::Access;
use crate::session::Freshness;
use crate::time::Timestamp;

/// Bounds on how long a home holds a read for a replica that is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeSettings {
    /// Longest wait for a replica to reach a read's position; then the primary serves the read.
    pub replica_wait: Duration,
    /// Time between two questions to a replica that is behind.
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

/// A request at the home of `database`, with the connection that would run it.
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
    /// When the connection that would run it was opened, on the clock of [`SeenStatus::asked_at`];
    /// `None` while there is none. Reads that need a position need a connection first.
    pub connection_opened_at: Option<Timestamp>,
}

/// What the home does with the request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServeDecision {
    /// Run it. A write is still to be confirmed.
    Serve,
    /// Run it, and hold the reply until a round that begins now confirms this term.
    ServeConfirmed {
        /// The term in which the database leads.
        term: Term,
    },
    /// Ask the database for its status, then decide again.
    AskStatus,
    /// The database is behind: ask for its status at this time, then decide again.
    WaitUntil(Timestamp),
    /// Another database must serve it.
    Redirect {
        /// The primary as this home knows it.
        primary: Option<DatabaseName>,
        /// The term in which it leads, or the highest term known when there is none.
        term: Term,
    },
}

/// Decides about `request` by what is known of the group at `now`.
///
/// A status that shows a database fresh enough stays true for as long as the database runs: a
/// confirmed write never leaves a log. A restart may lose the log, but breaks the connections
/// that were open before; so the status must not be older than the connection that is used.
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
                Some(seen) => behind(view, request, settings, seen, now),
            }
        }
    }
}

fn covers_connection(seen: SeenStatus, request: ServeRequest<'_>) -> bool {
    request
        .connection_opened_at
        .is_some_and(|opened_at| seen.asked_at >= opened_at)
}

fn behind(
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
        // The position may never have been confirmed and be gone; the primary decides.
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
