//! State of one caller's session at its edge.

use super::{Freshness, SessionToken, TransactionStatus};
use crate::group::LogPosition;
use crate::identifiers::{DatabaseName, GroupName};

/// The open transaction of a session, pinned to one connection at the home of one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionPin {
    /// Number of the transaction, unique within the session.
    pub number: u64,
    /// The database whose home holds the connection.
    pub database: DatabaseName,
}

/// One caller's session with one group, at the edge that terminates it.
#[derive(Clone, Debug)]
pub struct Session {
    group: GroupName,
    /// The newest position that the session has seen; `None` before the first.
    seen: Option<LogPosition>,
    pin: Option<TransactionPin>,
    next_transaction: u64,
}

impl Session {
    /// A session with `group` that has seen nothing yet.
    pub fn new(group: GroupName) -> Self {
        Self {
            group,
            seen: None,
            pin: None,
            next_transaction: 0,
        }
    }

    /// The group that serves the session.
    pub fn group(&self) -> &GroupName {
        &self.group
    }

    /// Applies a token that the caller sent. A token with an older position than the session's own has
    /// no effect.
    ///
    /// A token of another group holds no position of this one, so the session's position is reset and
    /// the confirmed primary serves the next read.
    pub fn offer(&mut self, token: &SessionToken) {
        if token.group == self.group {
            self.advance(Some(token.seen));
        } else {
            self.seen = None;
        }
    }

    /// Forgets the position that the session has seen, so that the confirmed primary serves the next
    /// read.
    pub fn reset(&mut self) {
        self.seen = None;
    }

    /// The token for the caller to keep; `None` while the session hasn't seen a position.
    pub fn token(&self) -> Option<SessionToken> {
        let group = self.group.clone();
        self.seen.map(|seen| SessionToken { group, seen })
    }

    /// How fresh a database must be to serve the session's next read.
    pub fn freshness(&self) -> Freshness {
        self.seen.map_or(Freshness::Current, Freshness::AtLeast)
    }

    /// The session's open transaction, if there is one.
    pub fn pin(&self) -> Option<&TransactionPin> {
        self.pin.as_ref()
    }

    /// Records that `database` answered a batch. `seen` is the position that the home reported with the
    /// answer.
    pub fn done(
        &mut self,
        database: &DatabaseName,
        seen: Option<LogPosition>,
        transaction: TransactionStatus,
    ) {
        self.advance(seen);
        match transaction {
            TransactionStatus::Idle => self.pin = None,
            TransactionStatus::Open | TransactionStatus::Failed => self.pin_transaction(database),
        }
    }

    /// Ends the open transaction, because it was rolled back, its outcome is unknown, or its home was
    /// lost. Returns its pin.
    pub fn transaction_lost(&mut self) -> Option<TransactionPin> {
        self.pin.take()
    }

    fn pin_transaction(&mut self, database: &DatabaseName) {
        if self.pin.is_some() {
            return;
        }
        self.pin = Some(TransactionPin {
            number: self.next_transaction,
            database: database.clone(),
        });
        self.next_transaction += 1;
    }

    fn advance(&mut self, position: Option<LogPosition>) {
        self.seen = self.seen.max(position);
    }
}
