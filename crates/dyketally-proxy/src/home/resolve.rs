//! Finds out at the group's primary what became of a recorded batch.

use std::sync::Arc;
use std::time::Duration;

use dyketally::group::{ConfirmationResult, FinishedWrite, LogPosition, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::policy::Confirmation;
use tokio_util::sync::CancellationToken;

use super::backend::{BackendError, BackendStream};
use super::connection::Connection;
use super::ledger::{Ledger, LedgerEntry};
use super::monitor::GroupMonitor;
use super::serve::ServedRequest;
use super::status_reply::StatusReply;

/// SQLSTATE of a key that exists already.
const UNIQUE_VIOLATION: &str = "23505";
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Longest time for one attempt; the primary may be replaced meanwhile.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(20);

/// What became of a recorded batch, confirmed by the group.
#[derive(Debug)]
pub(super) enum Resolution {
    /// It was committed.
    Committed {
        /// Its reply.
        reply: Vec<u8>,
        /// A position that contains it.
        seen: LogPosition,
    },
    /// It was not committed and never will be.
    Barred,
}

/// An entry with the status of the database that told it.
struct ToldEntry {
    entry: LedgerEntry,
    status: StatusReply,
}

impl ServedRequest<'_> {
    /// Tries until the group has confirmed an answer; bounded by the caller.
    pub(super) async fn find_out(&self, ledger: &Ledger<'_>) -> Resolution {
        loop {
            let primary = self.shared.monitor.view(|view| view.primary());
            if let Some((primary, term)) = primary {
                let attempt = self.find_out_at(&primary, term, ledger);
                match tokio::time::timeout(ATTEMPT_LIMIT, attempt).await {
                    Ok(Ok(Some(resolution))) => return resolution,
                    Ok(Ok(None)) => {}
                    Ok(Err(error)) => log::debug!("the ledger at {primary} can't be read: {error}"),
                    Err(_) => log::debug!("the ledger at {primary} did not answer in time"),
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn find_out_at(
        &self,
        primary: &DatabaseName,
        term: Term,
        ledger: &Ledger<'_>,
    ) -> Result<Option<Resolution>, BackendError> {
        let Some(target) = self.shared.probe_target(self.policy, primary) else {
            return Ok(None);
        };
        let stream = BackendStream::connect(target.address, &target.login, CONNECT_LIMIT).await?;
        let mut connection = Connection::new(stream);
        let told = self.bar_or_read(&mut connection, ledger).await?;
        let Some(told) = told else {
            return Ok(None);
        };
        let Some(seen) = self.confirm_at(primary, term, &told.status).await else {
            return Ok(None);
        };
        Ok(match told.entry {
            LedgerEntry::Reply(reply) => Some(Resolution::Committed { reply, seen }),
            LedgerEntry::Barred => Some(Resolution::Barred),
            LedgerEntry::WithoutReply => None,
        })
    }

    /// Bars the batch, or reads what the ledger holds if its key is there.
    async fn bar_or_read(
        &self,
        connection: &mut Connection,
        ledger: &Ledger<'_>,
    ) -> Result<Option<ToldEntry>, BackendError> {
        let status_statement = &self.policy.group.status_statement;
        connection.queue_command(&ledger.bar())?;
        connection.queue_status(status_statement)?;
        connection.send().await?;
        let barred = connection.read_command().await?;
        let status = connection.read_status().await?;
        match barred.error {
            None => {
                let entry = LedgerEntry::Barred;
                return Ok(Some(ToldEntry { entry, status }));
            }
            Some(error) if error.sqlstate == UNIQUE_VIOLATION => {}
            Some(_) => return Ok(None),
        }
        connection.queue_command(&ledger.select())?;
        connection.queue_status(status_statement)?;
        connection.send().await?;
        let selected = connection.read_command().await?;
        let status = connection.read_status().await?;
        let entry = selected.value.as_deref().map(LedgerEntry::of);
        Ok(entry.map(|entry| ToldEntry { entry, status }))
    }

    /// Confirms what `primary` told, whichever member of the group that is.
    async fn confirm_at(
        &self,
        primary: &DatabaseName,
        term: Term,
        status: &StatusReply,
    ) -> Option<LogPosition> {
        let write = FinishedWrite {
            sent_in_term: term,
            status_after: status.status()?,
            mode: Confirmation::MajorityPosition,
            deadline: self.deadline,
        };
        let stop = CancellationToken::new();
        let _stop_on_return = stop.clone().drop_guard();
        let monitor = Arc::new(GroupMonitor::new(primary.clone(), stop.clone()));
        monitor.set_members(self.shared.probe_targets(self.policy));
        tokio::spawn(stop.run_until_cancelled_owned(Arc::clone(&monitor).keep()));
        match monitor.confirm_write(write).await {
            ConfirmationResult::Confirmed(seen) => Some(seen),
            _ => None,
        }
    }
}
