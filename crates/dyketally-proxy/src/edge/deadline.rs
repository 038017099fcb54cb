//! Deadline layer: bounds the time until a reply starts, whatever happens to its home.

use std::convert::Infallible;
use std::task::{Context, Poll};
use std::time::Duration;

use dyketally::outcome::UnknownReason;
use dyketally_protocol::Completion;
use futures::future::BoxFuture;
use tower::{Layer, Service};

use super::request::{ReplyStart, StatementReply, StatementRequest};

/// Time past the deadline that a home is given to tell what became of a request. The home keeps
/// the deadline itself and knows more than "unknown".
const GRACE: Duration = Duration::from_millis(100);

/// Adds the bound to a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineLayer;

impl<Inner> Layer<Inner> for DeadlineLayer {
    type Service = Deadline<Inner>;

    fn layer(&self, inner: Inner) -> Deadline<Inner> {
        Deadline { inner }
    }
}

/// See [`DeadlineLayer`].
#[derive(Clone, Debug)]
pub struct Deadline<Inner> {
    inner: Inner,
}

impl<Inner> Service<StatementRequest> for Deadline<Inner>
where
    Inner: Service<StatementRequest, Response = StatementReply, Error = Infallible>,
    Inner::Future: Send + 'static,
{
    type Response = StatementReply;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<StatementReply, Infallible>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: StatementRequest) -> Self::Future {
        let due = request.deadline + GRACE;
        let cancelled = request.cancelled.clone();
        let asked = request
            .transaction
            .as_ref()
            .map(|pinned| pinned.database.clone());
        let asked = asked.or_else(|| request.group.members.first().map(|m| m.name.clone()));
        let reply = self.inner.call(request);
        Box::pin(async move {
            if let Ok(reply) = tokio::time::timeout_at(due, reply).await {
                return reply;
            }
            cancelled.cancel();
            Ok(StatementReply {
                database: asked.unwrap_or_else(|| "".into()),
                home: None,
                start: ReplyStart::Ended(Completion::Unknown {
                    reason: UnknownReason::DeadlinePassed,
                }),
            })
        })
    }
}
