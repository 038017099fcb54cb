//! Innermost service: sends a routed request to the home of its database.

use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};

use dyketally::identifiers::{DatabaseName, RequestId};
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally_protocol::{Completion, ExecuteRequest};
use futures::future::BoxFuture;
use tokio::time::Instant;
use tower::Service;

use super::request::{ReplyStart, RoutedRequest, StatementReply};
use crate::homes::{HomeLocation, Homes};
use crate::reply::{HomeRequest, ReplyReceiver, reply_channel};

/// Sends requests to homes, in this process or behind a link.
#[derive(Clone, Debug)]
pub struct SendToHome {
    homes: Arc<Homes>,
}

impl SendToHome {
    /// Sends by way of `homes`.
    pub fn new(homes: Arc<Homes>) -> Self {
        Self { homes }
    }
}

impl Service<RoutedRequest> for SendToHome {
    type Response = StatementReply;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<StatementReply, Infallible>>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, routed: RoutedRequest) -> Self::Future {
        let homes = self.homes.clone();
        Box::pin(async move { Ok(send(&homes, routed).await) })
    }
}

/// Sends to the home, and to the node that follows it when the home could not be reached: then
/// nothing was sent, so this is safe for writes too.
async fn send(homes: &Homes, routed: RoutedRequest) -> StatementReply {
    let mut tried = Vec::new();
    loop {
        let Some(home) = home_of(homes, &routed) else {
            return no_home(routed.database);
        };
        let reply = send_to(homes, home.clone(), routed.clone()).await;
        tried.push(home);
        let next = home_of(homes, &routed);
        let elsewhere = next.is_some_and(|next| !tried.contains(&next));
        if !is_unreachable(&reply) || !elsewhere {
            return reply;
        }
    }
}

/// An open transaction stays at the home that holds its connection.
fn home_of(homes: &Homes, routed: &RoutedRequest) -> Option<HomeLocation> {
    match &routed.request.transaction {
        Some(pinned) => Some(pinned.home.clone()),
        None => homes.locate(routed.request.member(&routed.database)?),
    }
}

async fn send_to(homes: &Homes, home: HomeLocation, routed: RoutedRequest) -> StatementReply {
    let database = routed.database.clone();
    let (reply, receiver) = reply_channel();
    let request = HomeRequest {
        cancelled: routed.request.cancelled.clone(),
        execute: execute_request(routed),
        reply,
    };
    homes.submit(&home, request);
    StatementReply {
        database,
        home: Some(home),
        start: reply_start(receiver).await,
    }
}

fn is_unreachable(reply: &StatementReply) -> bool {
    matches!(
        &reply.start,
        ReplyStart::Ended(Completion::NotRun {
            reason: NotRunReason::Unreachable,
            ..
        })
    )
}

fn no_home(database: DatabaseName) -> StatementReply {
    StatementReply {
        database,
        home: None,
        start: ReplyStart::Ended(Completion::NotRun {
            reason: NotRunReason::Unreachable,
            retry_after: None,
        }),
    }
}

/// Waits for the first data or the end of a reply.
async fn reply_start(mut receiver: ReplyReceiver) -> ReplyStart {
    match receiver.next().await {
        Some(first) => ReplyStart::Data {
            first,
            rest: receiver,
        },
        None => ReplyStart::Ended(completion_of(receiver).await),
    }
}

/// The end of a reply whose data has all been taken.
pub async fn completion_of(receiver: ReplyReceiver) -> Completion {
    receiver.completion.await.unwrap_or(Completion::Unknown {
        reason: UnknownReason::HomeLost,
    })
}

fn execute_request(routed: RoutedRequest) -> ExecuteRequest {
    let request = routed.request;
    ExecuteRequest {
        // A link sets its own number.
        request: RequestId(0),
        database: routed.database,
        tenant: request.tenant,
        session: request.session,
        transaction: request.transaction.map(|pinned| pinned.number),
        access: request.policy.access,
        urgency: request.policy.urgency,
        repeat: request.policy.repeat,
        freshness: request.freshness,
        time_left: request.deadline.saturating_duration_since(Instant::now()),
        batch: request.batch,
    }
}
