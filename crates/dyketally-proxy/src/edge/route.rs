//! Route layer: picks the database for a request and follows redirects.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard};

use dyketally::identifiers::{DatabaseName, Locality};
use dyketally::outcome::NotRunReason;
use dyketally::policy::Access;
use dyketally::routing::{Attempt, Route, RouteRequest, RouteTable};
use dyketally::time::Timestamp;
use dyketally_protocol::{Completion, Freshness};
use tokio::time::Instant;
use tower::{Layer, Service, ServiceExt};

use super::layered::{Layered, RunRequest};
use super::request::{ReplyStart, RoutedRequest, StatementReply, StatementRequest};
use crate::clock;

/// The cached routes of one edge, shared by its sessions.
#[derive(Clone, Debug)]
pub struct SharedRoutes {
    locality: Locality,
    table: Arc<Mutex<RouteTable>>,
}

impl SharedRoutes {
    /// Routes of an edge at `locality`.
    pub fn new(locality: Locality, table: RouteTable) -> Self {
        Self {
            locality,
            table: Arc::new(Mutex::new(table)),
        }
    }

    fn choose(&self, request: &StatementRequest, attempt: &mut Attempt) -> Route {
        if let Some(pinned) = &request.transaction {
            return Route::Send(pinned.database.clone());
        }
        let route = self.route_request(request);
        self.lock().choose(route, attempt, clock::now())
    }

    fn route_request<'a>(&'a self, request: &'a StatementRequest) -> RouteRequest<'a> {
        RouteRequest {
            group: &request.group,
            access: request.policy.access,
            freshness: request.freshness,
            locality: &self.locality,
        }
    }

    fn lock(&self) -> MutexGuard<'_, RouteTable> {
        self.table
            .lock()
            .expect("no code panics while it holds this lock")
    }
}

/// Adds routing to a service that sends routed requests.
#[derive(Clone, Debug)]
pub struct RouteLayer {
    routes: SharedRoutes,
}

impl RouteLayer {
    /// Routes by what `routes` knows.
    pub fn new(routes: SharedRoutes) -> Self {
        Self { routes }
    }
}

impl<Inner> Layer<Inner> for RouteLayer {
    type Service = Layered<RouteLayer, Inner>;

    fn layer(&self, inner: Inner) -> Self::Service {
        Layered::new(self, inner)
    }
}

impl<Inner> RunRequest<Inner> for RouteLayer
where
    Inner: Service<RoutedRequest, Response = StatementReply, Error = Infallible> + Send,
    Inner::Future: Send,
{
    type Sent = RoutedRequest;

    async fn run(self, mut inner: Inner, request: StatementRequest) -> StatementReply {
        let mut attempt = Attempt::default();
        let mut last = not_run(&request, NotRunReason::NoPrimary);
        loop {
            let database = match self.routes.choose(&request, &mut attempt) {
                Route::Send(database) => database,
                Route::Wait(until) => match pause(until, &request).await {
                    Waited::Due => continue,
                    Waited::Over => return without_redirect(last),
                },
                Route::GiveUp(NotRunReason::NoPrimary) => return without_redirect(last),
                Route::GiveUp(reason) => return not_run(&request, reason),
            };
            let routed = RoutedRequest {
                database,
                request: request.clone(),
            };
            let Ok(service) = inner.ready().await;
            let Ok(reply) = service.call(routed).await;
            if !moves_on(&self.routes, &request, &mut attempt, &reply) {
                learn_primary(&self.routes, &request, &reply);
                return reply;
            }
            last = reply;
        }
    }
}

enum Waited {
    Due,
    Over,
}

/// Waits until `until`, unless the request's deadline comes first or the caller gives up.
async fn pause(until: Timestamp, request: &StatementRequest) -> Waited {
    let time = until.saturating_since(clock::now());
    if Instant::now() + time >= request.deadline {
        return Waited::Over;
    }
    tokio::select! {
        () = tokio::time::sleep(time) => Waited::Due,
        () = request.cancelled.cancelled() => Waited::Over,
    }
}

/// Whether another database is asked. Only requests that were certainly not run move on, so this
/// is safe for writes too.
fn moves_on(
    routes: &SharedRoutes,
    request: &StatementRequest,
    attempt: &mut Attempt,
    reply: &StatementReply,
) -> bool {
    let ReplyStart::Ended(completion) = &reply.start else {
        return false;
    };
    let group = &request.group.name;
    let mut table = routes.lock();
    match completion {
        Completion::Redirect { primary, term } if was_behind(request, reply) => {
            table.learn_primary(group, primary.clone(), *term);
            let route = routes.route_request(request);
            table.behind(route, attempt, &reply.database, clock::now());
        }
        Completion::Redirect { primary, term } => {
            table.redirected(group, attempt, primary.clone(), *term);
        }
        Completion::NotRun {
            reason:
                NotRunReason::Unreachable
                | NotRunReason::NotHome
                | NotRunReason::NoPrimary
                | NotRunReason::Leaving,
            ..
        } => table.unreachable(group, &reply.database, clock::now()),
        _ => return false,
    }
    // A transaction lives at one home; no other database can go on with it.
    request.transaction.is_none()
}

/// A write that was run tells who leads.
fn learn_primary(routes: &SharedRoutes, request: &StatementRequest, reply: &StatementReply) {
    let was_run = matches!(
        &reply.start,
        ReplyStart::Data { .. } | ReplyStart::Ended(Completion::Done { .. })
    );
    if was_run && request.policy.access == Access::Write {
        let group = &request.group.name;
        routes.lock().served_write(group, &reply.database);
    }
}

/// A read that names a position is sent on only by a replica that lacks it.
fn was_behind(request: &StatementRequest, reply: &StatementReply) -> bool {
    let at_least = matches!(request.freshness, Freshness::AtLeast(_));
    let known_primary = match &reply.start {
        ReplyStart::Ended(Completion::Redirect { primary, .. }) => primary.as_ref(),
        _ => None,
    };
    at_least
        && request.policy.access == Access::Read
        && known_primary.is_some_and(|primary| primary != &reply.database)
}

/// A redirect means nothing to a caller: the request was not run, since no primary was found.
fn without_redirect(reply: StatementReply) -> StatementReply {
    let start = match reply.start {
        ReplyStart::Ended(Completion::Redirect { .. }) => ReplyStart::Ended(Completion::NotRun {
            reason: NotRunReason::NoPrimary,
            retry_after: None,
        }),
        start => start,
    };
    StatementReply { start, ..reply }
}

fn not_run(request: &StatementRequest, reason: NotRunReason) -> StatementReply {
    let first = request.group.members.first();
    StatementReply {
        database: first.map_or_else(|| DatabaseName::new(""), |member| member.name.clone()),
        home: None,
        start: ReplyStart::Ended(Completion::NotRun {
            reason,
            retry_after: None,
        }),
    }
}
