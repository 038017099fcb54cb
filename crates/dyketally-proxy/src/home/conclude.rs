//! How a request ended whose reply was read in full.

use dyketally::group::{ConfirmationResult, FinishedWrite, LogPosition, MemberStatus, Role, Term};
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::session::Freshness;
use dyketally_protocol::{Completion, TransactionStatus};
use tokio::sync::oneshot;

use super::connection::BatchEnd;
use super::output::ReplyOutput;
use super::run::{Exchanged, READ_ONLY_TRANSACTION};
use super::serve::{ServedRequest, not_run};
use super::sessions::Pin;
use super::status_reply::StatusReply;

impl ServedRequest<'_> {
    /// Decides how the request ended, once the group has confirmed what must be confirmed.
    pub(super) async fn conclude(
        &self,
        pin: Pin,
        exchanged: Exchanged,
        verdict: Option<oneshot::Receiver<ConfirmationResult>>,
        output: &mut ReplyOutput,
    ) -> Completion {
        let Exchanged { end, status } = exchanged;
        if self.was_refused_as_replica(&end, &status) && !output.was_passed_on() {
            output.discard();
            return self.redirect();
        }
        if let Some(verdict) = verdict {
            return self.conclude_read(pin, end, verdict, output).await;
        }
        if end.transaction != TransactionStatus::Idle {
            return self.stay_open(pin, end.transaction);
        }
        if !self.is_confirmed_as_write(&pin, &end) {
            self.count_unconfirmed_read(&pin);
            return done(None, TransactionStatus::Idle);
        }
        let leads_in = pin.leads_in;
        drop(pin);
        self.conclude_write(leads_in, status.status(), output).await
    }

    fn was_refused_as_replica(&self, end: &BatchEnd, status: &StatusReply) -> bool {
        let is_replica = status.status().is_some_and(|s| s.role == Role::Replica);
        let refused = end.error.as_deref() == Some(READ_ONLY_TRANSACTION);
        self.execute.transaction.is_none() && refused && is_replica
    }

    /// Counts a read that was served by its position; one that was confirmed is counted there.
    fn count_unconfirmed_read(&self, pin: &Pin) {
        let counters = &self.shared.counters;
        match (self.execute.freshness, pin.leads_in) {
            (Freshness::AtLeast(_), None) => counters.replica_reads.increment(),
            (Freshness::AtLeast(_), Some(_)) => counters.primary_reads.increment(),
            (Freshness::Current | Freshness::Any, _) => {}
        }
    }

    async fn conclude_read(
        &self,
        pin: Pin,
        end: BatchEnd,
        verdict: oneshot::Receiver<ConfirmationResult>,
        output: &mut ReplyOutput,
    ) -> Completion {
        let kept = match end.transaction {
            TransactionStatus::Idle => {
                drop(pin);
                None
            }
            _ => Some(pin),
        };
        match verdict.await {
            Ok(ConfirmationResult::Confirmed(seen)) => {
                self.shared.counters.primary_reads.increment();
                match kept.map(|pin| self.keep_pin(pin)) {
                    Some(Err(lost)) => lost,
                    _ => done(Some(seen), end.transaction),
                }
            }
            _ if output.was_passed_on() => Completion::Unknown {
                reason: UnknownReason::NotConfirmed,
            },
            Ok(ConfirmationResult::Deposed { .. }) => {
                output.discard();
                self.redirect()
            }
            // No verdict comes from a monitor that has ended: the primary isn't confirmed either.
            Ok(ConfirmationResult::NotConfirmed) | Err(_) => {
                output.discard();
                not_run(NotRunReason::NoPrimary)
            }
        }
    }

    fn stay_open(&self, pin: Pin, transaction: TransactionStatus) -> Completion {
        match self.keep_pin(pin) {
            Ok(()) => done(None, transaction),
            Err(lost) => lost,
        }
    }

    async fn conclude_write(
        &self,
        leads_in: Option<Term>,
        status_after: Option<MemberStatus>,
        output: &mut ReplyOutput,
    ) -> Completion {
        let verdict = match (leads_in, status_after) {
            (Some(sent_in_term), Some(status_after)) => {
                let write = FinishedWrite {
                    sent_in_term,
                    status_after,
                    mode: self.tenant.confirmation,
                    deadline: self.deadline,
                };
                self.shared.monitor.confirm_write(write).await
            }
            _ => ConfirmationResult::NotConfirmed,
        };
        match verdict {
            ConfirmationResult::Confirmed(seen) => {
                self.shared.counters.writes_confirmed.increment();
                done(Some(seen), TransactionStatus::Idle)
            }
            ConfirmationResult::Deposed { .. } | ConfirmationResult::NotConfirmed => {
                self.shared.counters.writes_not_confirmed.increment();
                self.shared.monitor.watch_closely();
                output.discard();
                Completion::Unknown {
                    reason: UnknownReason::NotConfirmed,
                }
            }
        }
    }
}

pub(super) fn done(seen: Option<LogPosition>, transaction: TransactionStatus) -> Completion {
    Completion::Done { seen, transaction }
}

pub(super) fn unknown(reason: UnknownReason) -> Completion {
    Completion::Unknown { reason }
}
