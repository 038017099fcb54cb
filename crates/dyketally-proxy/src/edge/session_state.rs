//! What an edge keeps of one session between two batches: what it has seen, its transaction, and
//! where that transaction's connection is held.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use dyketally::identifiers::{DatabaseName, SessionId};
use dyketally::outcome::NotRunReason;
use dyketally::session::{Freshness, Session, SessionToken};
use dyketally_protocol::{Completion, TransactionStatus};

use super::answer::CallerFault;
use super::counters::{EdgeCounters, count};
use super::request::PinnedTransaction;
use crate::homes::{HomeLocation, Homes};

/// The state of one session.
#[derive(Debug)]
pub(super) struct SessionState {
    id: SessionId,
    session: Session,
    /// The node that holds the open transaction's connection.
    pinned_home: Option<HomeLocation>,
    transaction: TransactionStatus,
    told: Option<SessionToken>,
    homes: Arc<Homes>,
    counters: Arc<EdgeCounters>,
}

impl SessionState {
    /// The state of a session that has just begun.
    pub fn new(
        id: SessionId,
        session: Session,
        homes: Arc<Homes>,
        counters: Arc<EdgeCounters>,
    ) -> Self {
        Self {
            id,
            session,
            pinned_home: None,
            transaction: TransactionStatus::Idle,
            told: None,
            homes,
            counters,
        }
    }

    /// The session's number.
    pub fn id(&self) -> &SessionId {
        &self.id
    }

    /// What the session has seen.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Takes a token that the caller offers; `None` forgets what was seen.
    pub fn offer(&mut self, token: Option<&SessionToken>) {
        match token {
            Some(token) => self.session.offer(token),
            None => self.session.reset(),
        }
    }

    /// The state of the transaction, as the caller is told.
    pub fn transaction(&self) -> TransactionStatus {
        self.transaction
    }

    /// True while a transaction is open, failed ones included.
    pub fn in_transaction(&self) -> bool {
        self.transaction != TransactionStatus::Idle
    }

    /// The open transaction and where its connection is.
    pub fn pinned(&self) -> Option<PinnedTransaction> {
        let pin = self.session.pin()?;
        Some(PinnedTransaction {
            number: pin.number,
            database: pin.database.clone(),
            home: self.pinned_home.clone()?,
        })
    }

    /// How fresh a database must be for the next batch.
    pub fn freshness(&self, describes_only: bool) -> Freshness {
        if describes_only {
            Freshness::Any
        } else {
            self.session.freshness()
        }
    }

    /// The token, if the caller has not been told of it yet.
    pub fn untold_token(&mut self) -> Option<SessionToken> {
        let token = self.session.token()?;
        if self.told.as_ref() == Some(&token) {
            return None;
        }
        self.told = Some(token.clone());
        Some(token)
    }

    /// Takes the end of a batch; returns the error that the caller is told, if it is one.
    pub fn settle(
        &mut self,
        completion: Completion,
        database: &DatabaseName,
        home: Option<HomeLocation>,
    ) -> Option<CallerFault> {
        match completion {
            Completion::Done { seen, transaction } => {
                count(&self.counters.done);
                self.session.done(database, seen, transaction);
                self.set_transaction(transaction);
                let holder = self.pinned_home.take().or(home);
                self.pinned_home = holder.filter(|_| self.in_transaction());
                None
            }
            Completion::NotRun {
                reason,
                retry_after,
            } => {
                count(&self.counters.not_run);
                Some(CallerFault::not_run(reason, retry_after))
            }
            // A redirect means nothing to a caller: no primary was found in time.
            Completion::Redirect { .. } => {
                count(&self.counters.not_run);
                Some(CallerFault::not_run(NotRunReason::NoPrimary, None))
            }
            Completion::Unknown { reason } => {
                count(&self.counters.unknown);
                self.lose_transaction();
                Some(CallerFault::unknown(reason))
            }
            Completion::RolledBack => {
                count(&self.counters.rolled_back);
                self.lose_transaction();
                Some(CallerFault::rolled_back())
            }
        }
    }

    /// The transaction is gone with its connection.
    fn lose_transaction(&mut self) {
        self.session.transaction_lost();
        self.end();
    }

    /// Ends the session's transaction, if one is open. Its home is told, in case it isn't yet.
    pub fn end(&mut self) {
        self.set_transaction(TransactionStatus::Idle);
        if let Some(home) = self.pinned_home.take() {
            self.homes.end_session(&home, &self.id);
        }
    }

    fn set_transaction(&mut self, status: TransactionStatus) {
        let was_open = self.in_transaction();
        self.transaction = status;
        let gauge = &self.counters.in_transaction;
        match (was_open, self.in_transaction()) {
            (false, true) => gauge.fetch_add(1, Ordering::Relaxed),
            (true, false) => gauge.fetch_sub(1, Ordering::Relaxed),
            _ => return,
        };
    }
}

/// A session whose task ends in any way, a panic included, leaves no transaction behind.
impl Drop for SessionState {
    fn drop(&mut self) {
        self.end();
    }
}
