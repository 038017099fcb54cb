//! The edge's record of one caller's session.

use super::{Freshness, SessionToken, TransactionStatus};
use crate::group::LogPosition;
use crate::identifiers::{DatabaseName, GroupName};

/// The open transaction of a session: pinned to one connection at one database's home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionPin {
    /// Number of the transaction; never repeated within the session.
    pub number: u64,
    /// The database whose home holds the connection.
    pub database: DatabaseName,
}

/// One caller's session with one group, at the edge that terminates it.
#[derive(Clone, Debug)]
pub struct Session {
    group: GroupName,
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

    /// The group that the session works with.
    pub fn group(&self) -> &GroupName {
        &self.group
    }

    /// Takes a token that the caller brought along. A token never takes the session back.
    ///
    /// A token of another group says nothing about this one: what was seen is forgotten, so that
    /// the next read is served by the confirmed primary.
    pub fn offer(&mut self, token: &SessionToken) {
        if token.group == self.group {
            self.advance(Some(token.seen));
        } else {
            self.seen = None;
        }
    }

    /// Forgets what was seen: the next read is served by the confirmed primary.
    pub fn reset(&mut self) {
        self.seen = None;
    }

    /// The token that the caller should carry; `None` until something was seen.
    pub fn token(&self) -> Option<SessionToken> {
        let group = self.group.clone();
        self.seen.map(|seen| SessionToken { group, seen })
    }

    /// How fresh a database must be to serve the session's next read.
    pub fn freshness(&self) -> Freshness {
        self.seen.map_or(Freshness::Current, Freshness::AtLeast)
    }

    /// The open transaction, if there is one.
    pub fn pin(&self) -> Option<&TransactionPin> {
        self.pin.as_ref()
    }

    /// Records a batch that `database` has answered.
    ///
    /// `seen` is the position that the home reported with it.
    pub fn done(
        &mut self,
        database: &DatabaseName,
        seen: Option<LogPosition>,
        transaction: TransactionStatus,
    ) {
        self.advance(seen);
        match transaction {
            TransactionStatus::Idle => self.pin = None,
            TransactionStatus::Open | TransactionStatus::Failed => self.hold(database),
        }
    }

    /// Records that the transaction is gone: rolled back, of unknown outcome, or its home was lost.
    pub fn transaction_lost(&mut self) -> Option<TransactionPin> {
        self.pin.take()
    }

    fn hold(&mut self, database: &DatabaseName) {
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
