//! Retry layer: runs plain reads and repeatable statements again when their outcome is unknown.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use dyketally::outcome::UnknownReason;
use dyketally::policy::Repeat;
use dyketally::retry::{Attempt, Decision, Retrier, TenantRetriers};
use dyketally::time::Timestamp;
use dyketally_protocol::Completion;
use tokio::time::Instant;
use tower::{Layer, Service, ServiceExt};

use super::layered::{Layered, RunRequest};
use super::request::{ReplyStart, StatementReply, StatementRequest};
use crate::clock;

/// Adds retries to a service. All sessions of a tenant share one budget.
#[derive(Clone, Debug)]
pub struct RetryLayer {
    retriers: SharedRetriers,
}

type SharedRetriers = Arc<Mutex<TenantRetriers>>;

impl RetryLayer {
    /// Retries as `retrier` decides, of which each tenant gets a copy of its own.
    pub fn new(retrier: Retrier) -> Self {
        Self {
            retriers: Arc::new(Mutex::new(TenantRetriers::new(retrier))),
        }
    }
}

impl<Inner> Layer<Inner> for RetryLayer {
    type Service = Layered<RetryLayer, Inner>;

    fn layer(&self, inner: Inner) -> Self::Service {
        Layered::new(self, inner)
    }
}

impl<Inner> RunRequest<Inner> for RetryLayer
where
    Inner: Service<StatementRequest, Response = StatementReply, Error = Infallible> + Send,
    Inner::Future: Send,
{
    type Sent = StatementRequest;

    async fn run(self, mut inner: Inner, request: StatementRequest) -> StatementReply {
        lock(&self.retriers).tenant(&request.tenant).record_fresh();
        let mut attempts = 0;
        let mut in_doubt = None;
        loop {
            let Ok(service) = inner.ready().await;
            let Ok(reply) = service.call(request.clone()).await;
            if let Some(in_doubt) = in_doubt.take_if(|_| !may_have_run(&reply)) {
                return in_doubt;
            }
            if !may_run_again(&request, &reply) {
                return reply;
            }
            attempts += 1;
            let attempt = attempt(&request, attempts);
            let decision = lock(&self.retriers).tenant(&request.tenant).decide(
                clock::now(),
                &attempt,
                &mut rand::rng(),
            );
            let Decision::RetryAt(at) = decision else {
                return reply;
            };
            let pause = tokio::time::sleep(at.saturating_since(clock::now()));
            tokio::select! {
                () = pause => {}
                () = request.cancelled.cancelled() => return reply,
            }
            if !request.is_plain_read() {
                in_doubt = Some(reply);
            }
        }
    }
}

/// False when the attempt was certainly not run. That says nothing of an earlier attempt.
fn may_have_run(reply: &StatementReply) -> bool {
    matches!(
        &reply.start,
        ReplyStart::Data { .. }
            | ReplyStart::Ended(Completion::Done { .. } | Completion::Unknown { .. })
    )
}

/// Only a reply that has not started and whose outcome is unknown. Past the deadline there is no
/// time left, and a statement of a transaction can't be run without the rest of it.
fn may_run_again(request: &StatementRequest, reply: &StatementReply) -> bool {
    let lost = matches!(
        &reply.start,
        ReplyStart::Ended(Completion::Unknown { reason }) if *reason != UnknownReason::DeadlinePassed
    );
    lost && request.transaction.is_none() && !request.cancelled.is_cancelled()
}

fn attempt(request: &StatementRequest, number: u32) -> Attempt {
    // A recorded statement is resolved by its home, through the ledger; the edge never repeats it.
    let repeatable = request.is_plain_read() || request.policy.repeat == Repeat::Repeatable;
    let repeat = if repeatable {
        Repeat::Repeatable
    } else {
        Repeat::Never
    };
    Attempt {
        number,
        may_have_run: true,
        repeat,
        retry_after: None,
        deadline: timestamp_of(request.deadline),
    }
}

fn timestamp_of(instant: Instant) -> Timestamp {
    let left: Duration = instant.saturating_duration_since(Instant::now());
    clock::now() + left
}

fn lock(retriers: &SharedRetriers) -> MutexGuard<'_, TenantRetriers> {
    retriers
        .lock()
        .expect("no code panics while it holds this lock")
}
