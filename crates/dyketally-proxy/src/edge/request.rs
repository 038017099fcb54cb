//! A classified batch on its way through the edge's layers, and the start of its reply.

use std::sync::Arc;

use bytes::Bytes;
use dyketally::identifiers::{DatabaseName, SessionId, TenantName};
use dyketally::policy::{Access, DatabasePolicy, GroupPolicy, StatementPolicy};
use dyketally_protocol::{Completion, Freshness, StatementBatch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::homes::HomeLocation;
use crate::reply::ReplyReceiver;

/// A session's open transaction and the database whose home holds its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PinnedTransaction {
    /// Number within the session.
    pub number: u64,
    /// The database.
    pub database: DatabaseName,
    /// The node that holds the connection. A new home of the database knows nothing of it.
    pub home: HomeLocation,
}

/// A batch to be run.
#[derive(Clone, Debug)]
pub struct StatementRequest {
    /// The group that holds the data, as configured when the request came.
    pub group: Arc<GroupPolicy>,
    /// On whose share it runs.
    pub tenant: TenantName,
    /// The session it belongs to.
    pub session: SessionId,
    /// The session's open transaction.
    pub transaction: Option<PinnedTransaction>,
    /// How it is treated.
    pub policy: StatementPolicy,
    /// How fresh a database must be.
    pub freshness: Freshness,
    /// When the final answer is due.
    pub deadline: Instant,
    /// The statements.
    pub batch: StatementBatch,
    /// Cancelled when the caller gives up, and when its statement is over.
    pub cancelled: CancellationToken,
}

impl StatementRequest {
    /// The group's member of that name.
    pub fn member(&self, database: &DatabaseName) -> Option<&DatabasePolicy> {
        let mut members = self.group.members.iter();
        members.find(|member| &member.name == database)
    }

    /// True when running it a second time changes nothing: reads outside of transactions.
    pub fn is_plain_read(&self) -> bool {
        self.policy.access == Access::Read && self.transaction.is_none()
    }
}

/// A request and the database that it is sent to.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The database.
    pub database: DatabaseName,
    /// The request.
    pub request: StatementRequest,
}

/// The start of a reply: from here on nothing can be tried again.
#[derive(Debug)]
pub struct StatementReply {
    /// The database that answers.
    pub database: DatabaseName,
    /// The node that was asked; `None` when none could be.
    pub home: Option<HomeLocation>,
    /// What came first.
    pub start: ReplyStart,
}

/// What came first of a reply.
#[derive(Debug)]
pub enum ReplyStart {
    /// Data; more may follow.
    Data {
        /// Encoded backend messages.
        first: Bytes,
        /// The rest of the reply.
        rest: ReplyReceiver,
    },
    /// The end; there is no data.
    Ended(Completion),
}
