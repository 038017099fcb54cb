//! Runs a recorded batch: in a transaction with an entry of the ledger.

use dyketally::group::{ConfirmationResult, FinishedWrite, MemberStatus, Term};
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::policy::{Access, Repeat};
use dyketally_protocol::{Completion, TransactionStatus};
use tokio::time::timeout;

use super::command::CommandReply;
use super::conclude::{done, unknown};
use super::grant::Slot;
use super::ledger::{LONGEST_RECORDED_REPLY, Ledger, RequestKey};
use super::output::{Delivery, ReplyOutput};
use super::resolve::Resolution;
use super::run::{Failure, READ_ONLY_TRANSACTION};
use super::serve::{ServedRequest, not_run};
use super::sessions::Pin;
use super::status_hint::opens_transaction;
use crate::clock::now;

const BEGIN: &str = "BEGIN";
const COMMIT: &str = "COMMIT";
const ROLLBACK: &str = "ROLLBACK";

/// What became of a recorded batch at the database.
enum Recorded {
    /// It was committed, or may have been.
    Committed {
        /// The database's status behind the commit.
        behind: Option<MemberStatus>,
    },
    /// Nothing of it stays; the reply tells why.
    RolledBack,
    /// Nothing of it stays; the request ends so.
    Refused(Completion),
}

impl ServedRequest<'_> {
    /// True when the batch runs with an entry of the ledger. A transaction that the caller
    /// controls is the caller's to make safe.
    pub(super) fn is_recorded(&self) -> bool {
        self.execute.repeat == Repeat::Recorded
            && self.execute.access == Access::Write
            && self.execute.transaction.is_none()
            && !opens_transaction(&self.execute.batch)
    }

    /// Runs the batch with an entry of the ledger, and finds out at the group's primary what
    /// became of it when that is not clear.
    pub(super) async fn run_recorded(
        &self,
        mut pin: Pin,
        slot: Slot,
        output: &mut ReplyOutput,
    ) -> Completion {
        output.set_delivery(Delivery::Held);
        let key = RequestKey::random(&mut rand::rng());
        let ledger = Ledger::new(&self.policy.group.ledger_table, key);
        let attempt = self.attempt_recorded(&mut pin, &ledger, output);
        let attempted = match timeout(self.time_left(), attempt).await {
            Ok(attempted) => attempted,
            Err(_) => Err(Failure::DeadlinePassed),
        };
        let reason = match attempted {
            Ok(Recorded::Refused(completion)) => return completion,
            Ok(Recorded::RolledBack) => return done(None, TransactionStatus::Idle),
            Ok(Recorded::Committed { behind }) => {
                let leads_in = pin.leads_in;
                drop(pin);
                drop(slot);
                match self.confirm_recorded(leads_in, behind).await {
                    ConfirmationResult::Confirmed(seen) => {
                        self.shared.counters.writes_confirmed.increment();
                        return done(Some(seen), TransactionStatus::Idle);
                    }
                    _ => UnknownReason::NotConfirmed,
                }
            }
            Err(failure) => {
                let reason = failure.reason();
                self.abandon(pin, slot, failure);
                reason
            }
        };
        self.shared.monitor.watch_closely();
        output.discard();
        self.resolve(&ledger, reason, output).await
    }

    async fn attempt_recorded(
        &self,
        pin: &mut Pin,
        ledger: &Ledger<'_>,
        output: &mut ReplyOutput,
    ) -> Result<Recorded, Failure> {
        let connection = pin.connection.get();
        connection.queue_command(BEGIN)?;
        connection.queue_command(&ledger.insert())?;
        if let Err(error) = connection.prepare(&self.execute.batch, None) {
            log::debug!("a batch can't be sent: {error}");
            connection.spoil();
            return Ok(Recorded::Refused(not_run(NotRunReason::Refused)));
        }
        connection.send().await?;
        connection.read_command().await?;
        let inserted = connection.read_command().await?;
        let end = self.read_reply(pin, output).await?;
        if let Some(error) = inserted.error {
            output.discard();
            self.roll_back(pin).await?;
            return Ok(Recorded::Refused(self.not_recorded(&error.sqlstate)));
        }
        match end.transaction {
            TransactionStatus::Idle => self.ended_itself(pin).await,
            TransactionStatus::Failed => {
                self.roll_back(pin).await?;
                Ok(Recorded::RolledBack)
            }
            TransactionStatus::Open => self.commit_recorded(pin, ledger, output).await,
        }
    }

    /// The batch has ended the transaction itself: the ledger's entry went with it.
    async fn ended_itself(&self, pin: &mut Pin) -> Result<Recorded, Failure> {
        let statement = &self.policy.group.status_statement;
        let status = pin.connection.get().ask_status(statement).await?;
        Ok(Recorded::Committed {
            behind: status.status(),
        })
    }

    async fn commit_recorded(
        &self,
        pin: &mut Pin,
        ledger: &Ledger<'_>,
        output: &mut ReplyOutput,
    ) -> Result<Recorded, Failure> {
        let Some(reply) = output.held(LONGEST_RECORDED_REPLY) else {
            log::debug!(
                "a recorded statement was rolled back as its reply exceeds {LONGEST_RECORDED_REPLY} \
                 bytes; return fewer rows, or take `recorded` from its rule"
            );
            output.discard();
            self.roll_back(pin).await?;
            return Ok(Recorded::Refused(not_run(NotRunReason::Refused)));
        };
        let connection = pin.connection.get();
        connection.queue_command(&ledger.record(&reply))?;
        connection.queue_command(COMMIT)?;
        connection.queue_status(&self.policy.group.status_statement)?;
        connection.send().await?;
        let recorded = connection.read_command().await?;
        let committed = connection.read_command().await?;
        let behind = connection.read_status().await?.status();
        if is_commit(&committed) {
            return Ok(Recorded::Committed { behind });
        }
        output.discard();
        if let Some(error) = committed.error.or(recorded.error) {
            output.push(&error.encoded);
        }
        Ok(Recorded::RolledBack)
    }

    async fn roll_back(&self, pin: &mut Pin) -> Result<CommandReply, Failure> {
        let connection = pin.connection.get();
        connection.queue_command(ROLLBACK)?;
        connection.send().await?;
        Ok(connection.read_command().await?)
    }

    fn not_recorded(&self, sqlstate: &str) -> Completion {
        if sqlstate == READ_ONLY_TRANSACTION {
            self.shared.monitor.ask_all();
            return self.redirect();
        }
        self.shared.counters.ledger_refusals.increment();
        log::debug!(
            "the ledger table {} refuses entries with {sqlstate}; create it with the columns \
             `key text primary key, value text`",
            self.policy.group.ledger_table
        );
        not_run(NotRunReason::Refused)
    }

    /// Confirms the commit; half of the time that is left is kept for finding out more.
    async fn confirm_recorded(
        &self,
        leads_in: Option<Term>,
        status_after: Option<MemberStatus>,
    ) -> ConfirmationResult {
        let (Some(sent_in_term), Some(status_after)) = (leads_in, status_after) else {
            return ConfirmationResult::NotConfirmed;
        };
        let write = FinishedWrite {
            sent_in_term,
            status_after,
            mode: self.tenant.confirmation,
            deadline: now() + self.time_left() / 2,
        };
        self.shared.monitor.confirm_write(write).await
    }

    async fn resolve(
        &self,
        ledger: &Ledger<'_>,
        reason: UnknownReason,
        output: &mut ReplyOutput,
    ) -> Completion {
        let resolution = timeout(self.time_left(), self.find_out(ledger)).await;
        match resolution {
            Ok(Resolution::Committed { reply, seen }) => {
                self.shared.counters.resolved_done.increment();
                output.push(&reply);
                done(Some(seen), TransactionStatus::Idle)
            }
            Ok(Resolution::Barred) => {
                self.shared.counters.resolved_not_run.increment();
                not_run(NotRunReason::NoPrimary)
            }
            Err(_) => unknown(reason),
        }
    }
}

fn is_commit(reply: &CommandReply) -> bool {
    reply.error.is_none() && reply.tag.as_deref() == Some(COMMIT)
}
