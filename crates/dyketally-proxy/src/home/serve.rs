//! The path of one request through its home.

use std::sync::Arc;

use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::policy::Access;
use dyketally_protocol::{Completion, ExecuteRequest, TransactionStatus};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use super::backend::BackendError;
use super::connection::BatchEnd;
use super::connections::PooledConnection;
use super::output::{Delivery, ReplyOutput};
use super::sessions::{Arrival, Pin};
use super::shared::HomeShared;
use crate::clock::now;
use crate::reply::HomeRequest;

/// Runs `request` and completes its reply.
pub(super) async fn serve(shared: Arc<HomeShared>, request: HomeRequest, arrival: Arrival) {
    let HomeRequest {
        execute,
        cancelled,
        reply,
    } = request;
    let mut output = ReplyOutput::new(reply);
    let served = ServedRequest {
        shared: &shared,
        deadline: Instant::now() + execute.time_left,
        execute: &execute,
        cancelled: &cancelled,
        arrival,
    };
    let completion = served.run(&mut output).await;
    served.count(&completion);
    shared.sessions().finished(&execute.session);
    if output.finish(completion).await.is_err() {
        // A transaction without an owner is rolled back.
        drop(shared.sessions().end(&execute.session));
    }
}

struct ServedRequest<'a> {
    shared: &'a HomeShared,
    execute: &'a ExecuteRequest,
    cancelled: &'a CancellationToken,
    arrival: Arrival,
    deadline: Instant,
}

impl ServedRequest<'_> {
    async fn run(&self, output: &mut ReplyOutput) -> Completion {
        match self.execute.transaction {
            Some(number) => self.run_pinned(number, output).await,
            None => self.run_unpinned(output).await,
        }
    }

    async fn run_pinned(&self, number: u64, output: &mut ReplyOutput) -> Completion {
        let pin = {
            let mut sessions = self.shared.sessions();
            sessions.take_pin(&self.execute.session, number)
        };
        match pin {
            Some(pin) => self.run_on(pin, output).await,
            None => Completion::RolledBack,
        }
    }

    async fn run_unpinned(&self, output: &mut ReplyOutput) -> Completion {
        if self.shared.is_draining() {
            return not_run(NotRunReason::Leaving);
        }
        let acquired = timeout_at(self.deadline, self.shared.pool.acquire()).await;
        let connection = match acquired {
            Ok(Ok(connection)) => connection,
            Ok(Err(BackendError::Refused { .. })) => return not_run(NotRunReason::Refused),
            Ok(Err(_)) => return not_run(NotRunReason::Unreachable),
            Err(_) => return not_run(NotRunReason::DeadlinePassed),
        };
        self.run_on(self.new_pin(connection), output).await
    }

    fn new_pin(&self, connection: PooledConnection) -> Pin {
        Pin {
            connection,
            opened_by: self.arrival,
            number: None,
            may_have_written: false,
            idle_since: now(),
        }
    }

    async fn run_on(&self, mut pin: Pin, output: &mut ReplyOutput) -> Completion {
        pin.may_have_written |= self.execute.access == Access::Write;
        output.set_delivery(self.delivery());
        let connection = pin.connection.get();
        if connection.prepare(&self.execute.batch, None).is_err() {
            return not_run(NotRunReason::Refused);
        }
        match timeout_at(self.deadline, self.exchange(&mut pin, output)).await {
            Ok(Ok(end)) => self.done(pin, end),
            Ok(Err(_)) => self.broken(UnknownReason::ConnectionLost, output),
            Err(_) => self.broken(UnknownReason::DeadlinePassed, output),
        }
    }

    fn delivery(&self) -> Delivery {
        match self.execute.access {
            Access::Read => Delivery::Streamed,
            Access::Write => Delivery::Held,
        }
    }

    async fn exchange(
        &self,
        pin: &mut Pin,
        output: &mut ReplyOutput,
    ) -> Result<BatchEnd, BackendError> {
        let connection = pin.connection.get();
        connection.send().await?;
        let cancel_request = connection.cancel_request();
        let reply = connection.read_reply(output);
        tokio::pin!(reply);
        tokio::select! {
            biased;
            end = &mut reply => return end,
            () = self.cancelled.cancelled() => {}
        }
        if let Some(cancel_request) = cancel_request {
            self.shared.counters.cancels.increment();
            tokio::spawn(cancel_request.send());
        }
        reply.await
    }

    fn done(&self, mut pin: Pin, end: BatchEnd) -> Completion {
        if end.transaction != TransactionStatus::Idle {
            pin.idle_since = now();
            let kept = self.shared.sessions().keep_pin(&self.execute.session, pin);
            if kept.is_err() {
                self.shared.counters.transactions_abandoned.increment();
                return Completion::RolledBack;
            }
        }
        Completion::Done {
            seen: None,
            transaction: end.transaction,
        }
    }

    /// A read has no effect: while none of its reply was passed on, it counts as not run.
    fn broken(&self, reason: UnknownReason, output: &mut ReplyOutput) -> Completion {
        output.discard();
        let harmless = self.execute.access == Access::Read
            && self.execute.transaction.is_none()
            && !output.was_passed_on();
        match reason {
            UnknownReason::DeadlinePassed if harmless => not_run(NotRunReason::DeadlinePassed),
            _ if harmless => not_run(NotRunReason::Unreachable),
            _ => Completion::Unknown { reason },
        }
    }

    fn count(&self, completion: &Completion) {
        let counters = &self.shared.counters;
        match completion {
            Completion::Done { .. } => counters.done.increment(),
            Completion::NotRun { .. } => counters.not_run.increment(),
            Completion::Unknown { .. } => counters.unknown.increment(),
            Completion::Redirect { .. } => counters.redirected.increment(),
            Completion::RolledBack => counters.rolled_back.increment(),
        }
    }
}

fn not_run(reason: NotRunReason) -> Completion {
    Completion::NotRun {
        reason,
        retry_after: None,
    }
}
