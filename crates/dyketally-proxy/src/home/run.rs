//! Runs one batch on a connection.

use std::time::Duration;

use dyketally::group::Term;
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::policy::Access;
use dyketally_protocol::{Completion, TransactionStatus};
use tokio::time::{MissedTickBehavior, interval_at, timeout};

use super::backend::{BackendError, CancelRequest};
use super::conclude::{done, unknown};
use super::connection::BatchEnd;
use super::grant::Slot;
use super::output::{Delivery, ReplyOutput};
use super::serve::{ServedRequest, not_run};
use super::sessions::Pin;
use super::status_hint::status_goes_behind;
use super::status_reply::StatusReply;
use crate::clock::now;

/// SQLSTATE of a write that a replica refuses.
pub(super) const READ_ONLY_TRANSACTION: &str = "25006";

/// SQLSTATE of a reply that is too long to be passed on.
const PROGRAM_LIMIT_EXCEEDED: &str = "54000";

/// A statement that runs for this long makes the home ask whether its database still leads.
const SUSPICION: Duration = Duration::from_millis(50);

/// Suspicions after which a read moves on from a database that answers nothing at all.
const TICKS_FOR_SILENCE: u32 = 5;

/// Time that a database gets to answer what was sent before it was found to be replaced.
const REPLACED_GRACE: Duration = Duration::from_millis(20);

/// Time that a statement gets to end after it was given up on, before its connection is closed.
const ABANDONED_LIMIT: Duration = Duration::from_secs(2);

/// Why a sent batch has no usable reply.
pub(super) enum Failure {
    Broken,
    DeadlinePassed,
    Replaced,
    /// A message of the reply is too long to be passed on.
    TooLong(BackendError),
}

impl From<BackendError> for Failure {
    fn from(error: BackendError) -> Self {
        match error {
            BackendError::TooLong(_) => Self::TooLong(error),
            _ => Self::Broken,
        }
    }
}

impl From<std::io::Error> for Failure {
    fn from(_: std::io::Error) -> Self {
        Self::Broken
    }
}

impl Failure {
    /// Why the outcome of what was sent can't be told.
    pub fn reason(&self) -> UnknownReason {
        match self {
            Self::Broken | Self::TooLong(_) => UnknownReason::ConnectionLost,
            Self::DeadlinePassed => UnknownReason::DeadlinePassed,
            Self::Replaced => UnknownReason::NotConfirmed,
        }
    }
}

/// What a batch left behind it.
pub(super) struct Exchanged {
    pub end: BatchEnd,
    pub status: StatusReply,
}

impl ServedRequest<'_> {
    /// Runs the batch. `confirm` is the term to confirm for a read that must be current.
    pub(super) async fn run_on(
        &self,
        mut pin: Pin,
        slot: Slot,
        confirm: Option<Term>,
        output: &mut ReplyOutput,
    ) -> Completion {
        if self.is_recorded() {
            return self.run_recorded(pin, slot, output).await;
        }
        output.set_delivery(match self.is_held(&pin, confirm) {
            true => Delivery::Held,
            false => Delivery::Streamed,
        });
        let behind = status_goes_behind(self.execute);
        let statement = behind.then_some(self.policy.group.status_statement.as_str());
        let prepared = pin.connection.get().prepare(&self.execute.batch, statement);
        if let Err(error) = prepared {
            log::debug!("a batch can't be sent: {error}");
            pin.connection.get().spoil();
            return not_run(NotRunReason::Refused);
        }
        let sent_at = now();
        let verdict = confirm.map(|term| self.shared.monitor.confirm_read(term, self.deadline));
        let exchanged = match timeout(self.time_left(), self.exchange(&mut pin, output)).await {
            Ok(exchanged) => exchanged,
            Err(_) => Err(Failure::DeadlinePassed),
        };
        match exchanged {
            Ok(exchanged) => {
                if let Some(status) = exchanged.status.status() {
                    let database = &self.shared.database;
                    self.shared.monitor.observe(database, status, sent_at);
                }
                drop(slot);
                self.conclude(pin, exchanged, verdict, output).await
            }
            Err(failure) => {
                let completion = self.failed(&failure, output);
                self.abandon(pin, slot, failure);
                completion
            }
        }
    }

    /// True when the reply waits for a confirmation of the group.
    fn is_held(&self, pin: &Pin, confirm: Option<Term>) -> bool {
        let in_transaction = self.execute.transaction.is_some();
        let at_primary = pin.leads_in.is_some() && in_transaction;
        confirm.is_some() || pin.may_have_written || at_primary
    }

    async fn exchange(
        &self,
        pin: &mut Pin,
        output: &mut ReplyOutput,
    ) -> Result<Exchanged, Failure> {
        pin.connection.get().send().await?;
        let end = self.read_reply(pin, output).await?;
        if self.cancelled.is_cancelled() {
            // A cancel request that arrives late must not hit the next session's statement.
            pin.connection.get().spoil();
        }
        let connection = pin.connection.get();
        let mut status = connection.read_status().await?;
        let ended = end.transaction == TransactionStatus::Idle;
        if ended && status == StatusReply::NotAsked && self.is_confirmed_as_write(pin, &end) {
            let connection = pin.connection.get();
            status = connection
                .ask_status(&self.policy.group.status_statement)
                .await?;
        }
        Ok(Exchanged { end, status })
    }

    pub(super) async fn read_reply(
        &self,
        pin: &mut Pin,
        output: &mut ReplyOutput,
    ) -> Result<BatchEnd, Failure> {
        let leads_in = pin.leads_in.filter(|_| output.is_held());
        let monitor = &self.shared.monitor;
        let mut cancelled = false;
        let mut changes = monitor.changes();
        let mut suspicion = interval_at(tokio::time::Instant::now() + SUSPICION, SUSPICION);
        suspicion.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let is_replaced = || {
            let highest_term = monitor.view(|view| view.highest_term());
            leads_in.is_some_and(|term| highest_term > term)
        };
        let mut replaced = is_replaced();
        let mut ticks = 0;
        let cancel_request = pin.connection.get().cancel_request();
        let reply = pin.connection.get().read_reply(output);
        tokio::pin!(reply);
        loop {
            tokio::select! {
                biased;
                end = &mut reply => return Ok(end?),
                () = self.cancelled.cancelled(), if !cancelled => {
                    cancelled = true;
                    self.cancel(cancel_request);
                }
                _ = changes.changed(), if leads_in.is_some() && !replaced => {
                    replaced = is_replaced();
                }
                () = tokio::time::sleep(self.replaced_grace()), if replaced => {
                    return Err(Failure::Replaced);
                }
                _ = suspicion.tick() => {
                    ticks += 1;
                    if ticks >= TICKS_FOR_SILENCE && self.should_move_on() {
                        return Err(Failure::Broken);
                    }
                    monitor.ask_all();
                }
            }
        }
    }

    /// A plain read need not wait for a database that answers nothing at all.
    fn should_move_on(&self) -> bool {
        self.is_plain_read() && self.shared.monitor.is_silent(&self.shared.database)
    }

    fn is_plain_read(&self) -> bool {
        self.execute.access == Access::Read && self.execute.transaction.is_none()
    }

    /// A database that answers at all may yet answer what was sent.
    fn replaced_grace(&self) -> Duration {
        match self.shared.monitor.is_silent(&self.shared.database) {
            true => Duration::ZERO,
            false => REPLACED_GRACE,
        }
    }

    fn cancel(&self, request: Option<CancelRequest>) {
        if let Some(request) = request {
            self.shared.counters.cancels.increment();
            tokio::spawn(request.send());
        }
    }

    /// True when the group must confirm the batch that ended the transaction.
    pub(super) fn is_confirmed_as_write(&self, pin: &Pin, end: &BatchEnd) -> bool {
        let in_transaction = self.execute.transaction.is_some();
        let at_primary = pin.leads_in.is_some() && in_transaction;
        (pin.may_have_written || at_primary) && !end.without_effect
    }

    /// A read has no effect: while none of its reply was passed on, it counts as not run.
    fn failed(&self, failure: &Failure, output: &mut ReplyOutput) -> Completion {
        let plain_read = self.is_plain_read();
        if let (true, Failure::TooLong(error)) = (plain_read, failure) {
            output.discard();
            output.push_error(PROGRAM_LIMIT_EXCEEDED, &error.to_string());
            return done(None, TransactionStatus::Idle);
        }
        if !matches!(failure, Failure::DeadlinePassed) {
            self.shared.monitor.watch_closely();
        }
        self.shared.monitor.ask_all();
        output.discard();
        let harmless = plain_read && !output.was_passed_on();
        match failure {
            Failure::Broken if harmless => not_run(NotRunReason::Unreachable),
            Failure::DeadlinePassed if harmless => not_run(NotRunReason::DeadlinePassed),
            Failure::Replaced if harmless => self.redirect(),
            failure => unknown(failure.reason()),
        }
    }

    /// Stops the statement and closes its connection once it has ended; until then it keeps its
    /// slot, as the database is busy with it.
    pub(super) fn abandon(&self, mut pin: Pin, slot: Slot, failure: Failure) {
        pin.connection.get().spoil();
        if matches!(failure, Failure::Broken) {
            return;
        }
        self.cancel(pin.connection.get().cancel_request());
        tokio::spawn(async move {
            let ended = pin.connection.get().discard_reply();
            // The connection is closed in any case.
            let _ = timeout(ABANDONED_LIMIT, ended).await;
            drop(pin);
            drop(slot);
        });
    }
}
