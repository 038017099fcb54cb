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
use crate::homes::Homes;
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
        Box::pin(async move {
            let database = routed.database.clone();
            let pinned = routed.request.transaction.as_ref();
            let pinned = pinned.map(|transaction| transaction.home.clone());
            let Some(home) = pinned.or_else(|| homes.locate(&database)) else {
                return Ok(no_home(database));
            };
            let (reply, receiver) = reply_channel();
            let request = HomeRequest {
                cancelled: routed.request.cancelled.clone(),
                execute: execute_request(routed),
                reply,
            };
            homes.submit(&home, request);
            Ok(StatementReply {
                database,
                home: Some(home),
                start: reply_start(receiver).await,
            })
        })
    }
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
